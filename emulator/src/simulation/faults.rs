//! Faults: outages, partitions, and rollouts of gateways and servers.

use super::event::{Event, GatewayProcess};
use super::Simulation;
use crate::experiment::Fault;
use crate::server::{Server, ServerState};
use crate::{micros, Micros};

/// How long a gateway that shuts down completes its requests.
const GATEWAY_SHUTDOWN: Micros = 3_200_000;
/// Time from the end of a gateway's process to the start of its next one.
const GATEWAY_START_DELAY: Micros = 300_000;
/// Steps in which a rollout replaces servers.
const SERVER_ROLLOUT_STEPS: u32 = 10;
/// How long a draining server lives on.
const SERVER_DRAIN_TIME: Micros = 6_000_000;

impl Simulation<'_> {
    pub(super) fn start_fault(&mut self, fault: &Fault) {
        match *fault {
            Fault::ZoneOutage { zone, .. } => self.start_zone_outage(zone),
            Fault::RegionPartition { region, .. } => self.network.set_partitioned(region, true),
            Fault::DiscoveryOutage { .. } => self.discovery.down = true,
            Fault::CounterOutage { .. } => self.set_counter_down(true),
            Fault::GatewayRollout { duration_s, .. } => self.schedule_gateway_rollout(duration_s),
            Fault::ServerRollout {
                duration_s, share, ..
            } => self.schedule_server_rollout(duration_s, share),
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
            // Rollouts end with their last step.
            Fault::GatewayRollout { .. } | Fault::ServerRollout { .. } => {}
        }
    }

    fn start_zone_outage(&mut self, zone: u32) {
        for index in 0..self.servers.len() {
            let server = &mut self.servers[index];
            let is_up = matches!(server.state, ServerState::Running | ServerState::Draining);
            if server.zone == zone && is_up {
                server.stop(ServerState::Unreachable);
                self.detect_server_state_later(index as u32);
            }
        }
    }

    fn end_zone_outage(&mut self, zone: u32) {
        for index in 0..self.servers.len() {
            let server = &mut self.servers[index];
            if server.zone == zone && server.state == ServerState::Unreachable {
                server.restart(self.queue.now());
                self.server_state_detected(index as u32);
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
            let delay = micros(duration_s * 1000.0) * index / count;
            self.queue.schedule_in(
                delay,
                Event::GatewayShutsDown {
                    gateway: index as u32,
                },
            );
        }
    }

    /// The gateway gets no new requests; its next process starts once this one has ended.
    pub(super) fn shut_down_gateway(&mut self, index: u32) {
        self.gateways[index as usize].accepts_requests = false;
        let starts_in = GATEWAY_SHUTDOWN + GATEWAY_START_DELAY;
        self.queue
            .schedule_in(starts_in, Event::GatewayStarts { gateway: index });
    }

    /// The former process ends with what it has not answered, and a new one takes its place.
    pub(super) fn restart_gateway(&mut self, index: u32) {
        let process = self.gateways[index as usize].process;
        self.lose_open_requests(process);
        for (server, open) in self.gateways[index as usize].connections.open_by_server() {
            self.servers[server as usize].connections -= open;
        }
        let next = GatewayProcess {
            index,
            incarnation: process.incarnation + 1,
        };
        let mut gateway = self.start_gateway(next);
        gateway.figures = std::mem::take(&mut self.gateways[index as usize].figures);
        self.gateways[index as usize] = gateway;
        self.deliver_complete_list(index);
    }

    fn schedule_server_rollout(&mut self, duration_s: f64, share: f64) {
        let step_share = share / f64::from(SERVER_ROLLOUT_STEPS);
        for step in 0..SERVER_ROLLOUT_STEPS {
            let delay = micros(duration_s * 1000.0) * Micros::from(step)
                / Micros::from(SERVER_ROLLOUT_STEPS);
            self.queue
                .schedule_in(delay, Event::ServersReplaced { share: step_share });
        }
    }

    /// A share of the servers begin to drain, and as many new ones start.
    pub(super) fn replace_servers(&mut self, share: f64) {
        let count = (f64::from(self.experiment.servers.count) * share).round() as usize;
        let is_old =
            |server: &Server| server.state == ServerState::Running && server.started_at.is_none();
        let replaced: Vec<usize> = (0..self.servers.len())
            .filter(|index| is_old(&self.servers[*index]))
            .take(count)
            .collect();
        for index in replaced {
            let server = index as u32;
            self.servers[index].state = ServerState::Draining;
            self.queue
                .schedule_in(SERVER_DRAIN_TIME, Event::ServerStops { server });
            self.server_state_detected(server);
            self.start_server(self.servers[index].zone);
        }
    }

    fn start_server(&mut self, zone: u32) {
        let index = self.servers.len();
        let started_at = Some(self.queue.now());
        self.servers
            .push(Server::new(self.seed, index as u64, zone, started_at));
        self.server_state_detected(index as u32);
    }

    /// A server that has drained stops.
    pub(super) fn stop_drained_server(&mut self, index: u32) {
        self.servers[index as usize].stop(ServerState::Stopped);
        self.server_state_detected(index);
    }
}
