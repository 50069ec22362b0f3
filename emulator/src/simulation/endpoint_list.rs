//! Distribution of endpoint list changes: from discovery to the agent of each gateway, and on to the gateway.

use super::event::{Event, GatewayProcess};
use super::{Simulation, CLOCK_START_MS};
use crate::endpoint::EndpointStatus;
use quota_gateway::{Endpoint, EndpointState, Event as GatewayEvent};

/// Creates an entry of the endpoint list; `started_at_ms` is a time of the gateways' clock.
pub(super) fn list_entry(
    endpoint: u32,
    zone: u32,
    state: EndpointState,
    started_at_ms: f64,
) -> Endpoint {
    Endpoint {
        id: endpoint,
        hash_key: endpoint.into(),
        zone,
        kind: 0,
        cell: 0,
        state,
        weight: 1.0,
        started_at: started_at_ms,
    }
}

impl Simulation<'_> {
    /// Delivers the complete list to a new gateway process, whose agent already has it.
    pub(super) fn deliver_complete_list(&mut self, gateway: u32) {
        let entries = self.discovery.complete_list();
        self.gateways[gateway as usize].list_version = self.discovery.version();
        self.recorder.report.discovery.entries_delivered += entries.len() as u64;
        self.notify_gateway(
            gateway,
            GatewayEvent::EndpointUpdate {
                complete: true,
                endpoints: entries,
            },
        );
    }

    /// Schedules the time at which discovery detects the endpoint's state.
    pub(super) fn schedule_endpoint_status_detection(&mut self, endpoint: u32) {
        let delay = self.discovery.draw_detection_delay();
        self.queue
            .schedule_in(delay, Event::EndpointStatusDetected { endpoint });
    }

    /// Records the endpoint's current state in discovery and distributes the change.
    pub(super) fn endpoint_status_detected(&mut self, endpoint: u32) {
        let detected = &self.endpoints[endpoint as usize];
        let state = match detected.status {
            EndpointStatus::Running => EndpointState::Ready,
            EndpointStatus::Draining => EndpointState::Draining,
            EndpointStatus::Unreachable | EndpointStatus::Stopped => EndpointState::Removed,
        };
        let started_at_ms = detected
            .started_at
            .map_or(0.0, |at| CLOCK_START_MS + at as f64 / 1000.0);
        self.discovery
            .record_change(list_entry(endpoint, detected.zone, state, started_at_ms));
        self.recorder.report.discovery.changes += 1;
        self.distribute_endpoint_list();
    }

    /// Schedules the arrival of the latest changes at each agent, after a random delay for each.
    pub(super) fn distribute_endpoint_list(&mut self) {
        if self.discovery.down {
            return;
        }
        for gateway in &self.gateways {
            let delay = self.discovery.draw_propagation_delay();
            self.queue.schedule_in(
                delay,
                Event::EndpointListArrives {
                    process: gateway.process,
                },
            );
        }
    }

    /// Handles the arrival of discovery's current list at the agent of a gateway: the gateway gets the changes that it
    /// does not have yet.
    pub(super) fn endpoint_list_arrives(&mut self, process: GatewayProcess) {
        let now = self.queue.now();
        let gateway = &mut self.gateways[process.index as usize];
        let is_current = gateway.list_version == self.discovery.version();
        if gateway.process != process || self.discovery.down || is_current {
            return;
        }
        let entries = self.discovery.changes_since(gateway.list_version);
        gateway.list_version = self.discovery.version();
        for entry in &entries {
            if entry.state == EndpointState::Ready {
                gateway.draining_since.remove(&entry.id);
            } else {
                gateway.draining_since.entry(entry.id).or_insert(now);
            }
        }
        self.recorder.report.discovery.entries_delivered += entries.len() as u64;
        self.notify_gateway(
            process.index,
            GatewayEvent::EndpointUpdate {
                complete: false,
                endpoints: entries,
            },
        );
    }
}
