//! Injection of faults: outages, partitions, and rollouts of gateways and endpoints.

use super::event::{Event, GatewayProcess};
use super::Simulation;
use crate::endpoint::{EmulatedEndpoint, EndpointStatus};
use crate::experiment::Fault;
use crate::{ms_to_micros, Micros};

/// Time that a gateway in shutdown has to complete its requests.
const GATEWAY_SHUTDOWN: Micros = 3_200_000;
/// Time from the end of a gateway's process to the start of the gateway's next one. The simulation does not end the
/// old process before that start.
const GATEWAY_START_DELAY: Micros = 300_000;
/// Number of steps in which a rollout replaces endpoints.
const ENDPOINT_ROLLOUT_STEPS: u32 = 10;
/// Time from the start of an endpoint's draining to its stop.
const ENDPOINT_DRAIN_TIME: Micros = 6_000_000;

impl Simulation<'_> {
    pub(super) fn start_fault(&mut self, fault: &Fault) {
        match *fault {
            Fault::ZoneOutage { zone, .. } => self.start_zone_outage(zone),
            Fault::RegionPartition { region, .. } => self.network.set_partitioned(region, true),
            Fault::DiscoveryOutage { .. } => self.discovery.down = true,
            Fault::CounterOutage { .. } => self.set_counter_down(true),
            Fault::GatewayRollout { duration_s, .. } => self.schedule_gateway_rollout(duration_s),
            Fault::EndpointRollout {
                duration_s, share, ..
            } => self.schedule_endpoint_rollout(duration_s, share),
        }
    }

    pub(super) fn end_fault(&mut self, fault: &Fault) {
        match *fault {
            Fault::ZoneOutage { zone, .. } => self.end_zone_outage(zone),
            Fault::RegionPartition { region, .. } => self.network.set_partitioned(region, false),
            Fault::DiscoveryOutage { .. } => {
                self.discovery.down = false;
                self.distribute_endpoint_list();
            }
            Fault::CounterOutage { .. } => {
                self.set_counter_down(false);
                if let Some(counter) = &mut self.counter {
                    counter.clear();
                }
            }
            // Each step of a rollout is a scheduled event; nothing remains to be undone.
            Fault::GatewayRollout { .. } | Fault::EndpointRollout { .. } => {}
        }
    }

    fn start_zone_outage(&mut self, zone: u32) {
        for index in 0..self.endpoints.len() {
            let endpoint = &mut self.endpoints[index];
            let is_up = matches!(
                endpoint.status,
                EndpointStatus::Running | EndpointStatus::Draining
            );
            if endpoint.zone == zone && is_up {
                endpoint.reset(EndpointStatus::Unreachable);
                self.schedule_endpoint_status_detection(index as u32);
            }
        }
    }

    fn end_zone_outage(&mut self, zone: u32) {
        for index in 0..self.endpoints.len() {
            let endpoint = &mut self.endpoints[index];
            if endpoint.zone == zone && endpoint.status == EndpointStatus::Unreachable {
                endpoint.restart(self.queue.now());
                self.endpoint_status_detected(index as u32);
            }
        }
    }

    fn set_counter_down(&mut self, down: bool) {
        if let Some(counter) = &mut self.counter {
            counter.down = down;
        }
    }

    fn schedule_gateway_rollout(&mut self, duration_s: f64) {
        let count = self.gateways.len() as u64;
        for index in 0..count {
            let delay = ms_to_micros(duration_s * 1000.0) * index / count;
            self.queue.schedule_in(
                delay,
                Event::GatewayShutsDown {
                    gateway: index as u32,
                },
            );
        }
    }

    /// Begins the graceful shutdown of a gateway: no new requests are routed to it. The gateway's next process
    /// replaces the current one after `GATEWAY_SHUTDOWN` and `GATEWAY_START_DELAY`.
    pub(super) fn shut_down_gateway(&mut self, index: u32) {
        self.gateways[index as usize].accepts_requests = false;
        let starts_in = GATEWAY_SHUTDOWN + GATEWAY_START_DELAY;
        self.queue
            .schedule_in(starts_in, Event::GatewayStarts { gateway: index });
    }

    /// Ends the gateway's process, which loses its open requests and connections, and starts the next one.
    pub(super) fn restart_gateway(&mut self, index: u32) {
        let process = self.gateways[index as usize].process;
        self.discard_open_requests(process);
        for (endpoint, open) in self.gateways[index as usize].connections.open_by_endpoint() {
            self.endpoints[endpoint as usize].connections -= open;
        }
        let next = GatewayProcess {
            index,
            incarnation: process.incarnation + 1,
        };
        let mut gateway = self.start_gateway(next);
        gateway.stats = std::mem::take(&mut self.gateways[index as usize].stats);
        self.gateways[index as usize] = gateway;
        self.deliver_complete_list(index);
    }

    fn schedule_endpoint_rollout(&mut self, duration_s: f64, share: f64) {
        let step_share = share / f64::from(ENDPOINT_ROLLOUT_STEPS);
        for step in 0..ENDPOINT_ROLLOUT_STEPS {
            let delay = ms_to_micros(duration_s * 1000.0) * Micros::from(step)
                / Micros::from(ENDPOINT_ROLLOUT_STEPS);
            self.queue
                .schedule_in(delay, Event::EndpointsReplaced { share: step_share });
        }
    }

    /// Drains a share of the endpoints and starts the same number of new ones. Only endpoints that have run since the
    /// start of the experiment are replaced.
    pub(super) fn replace_endpoints(&mut self, share: f64) {
        let count = (f64::from(self.experiment.endpoints.count) * share).round() as usize;
        let is_initial = |endpoint: &EmulatedEndpoint| {
            endpoint.status == EndpointStatus::Running && endpoint.started_at.is_none()
        };
        let replaced: Vec<usize> = (0..self.endpoints.len())
            .filter(|index| is_initial(&self.endpoints[*index]))
            .take(count)
            .collect();
        for index in replaced {
            let endpoint = index as u32;
            self.endpoints[index].status = EndpointStatus::Draining;
            self.queue
                .schedule_in(ENDPOINT_DRAIN_TIME, Event::EndpointStops { endpoint });
            self.endpoint_status_detected(endpoint);
            self.start_endpoint(self.endpoints[index].zone);
        }
    }

    fn start_endpoint(&mut self, zone: u32) {
        let index = self.endpoints.len();
        let started_at = Some(self.queue.now());
        self.endpoints.push(EmulatedEndpoint::new(
            self.seed,
            index as u64,
            zone,
            started_at,
        ));
        self.endpoint_status_detected(index as u32);
    }

    /// Stops an endpoint that has drained.
    pub(super) fn stop_drained_endpoint(&mut self, index: u32) {
        self.endpoints[index as usize].reset(EndpointStatus::Stopped);
        self.endpoint_status_detected(index);
    }
}
