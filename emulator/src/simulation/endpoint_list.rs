//! How changes of the servers reach the gateways: discovery, the agent beside each gateway, the gateway.

use super::event::{Event, GatewayProcess};
use super::{Simulation, CLOCK_START_MS};
use crate::server::ServerState;
use quota_gateway::{Endpoint, EndpointState, Event as GatewayEvent};

/// An entry of the endpoint list; `started_at_ms` is on the gateways' clock.
pub(super) fn endpoint(
    server: u32,
    zone: u32,
    state: EndpointState,
    started_at_ms: f64,
) -> Endpoint {
    Endpoint {
        id: server,
        hash_key: server.into(),
        zone,
        kind: 0,
        cell: 0,
        state,
        weight: 1.0,
        started_at: started_at_ms,
    }
}

impl Simulation<'_> {
    /// A new process gets the complete list that its agent has.
    pub(super) fn deliver_complete_list(&mut self, gateway: u32) {
        let endpoints = self.discovery.complete_list();
        self.gateways[gateway as usize].list_version = self.discovery.version();
        self.recorder.report.discovery.entries_delivered += endpoints.len() as u64;
        self.notify_gateway(
            gateway,
            GatewayEvent::EndpointUpdate {
                complete: true,
                endpoints,
            },
        );
    }

    /// Discovery will notice the server's state after a while.
    pub(super) fn detect_server_state_later(&mut self, server: u32) {
        let delay = self.discovery.draw_detection_delay();
        self.queue
            .schedule_in(delay, Event::ServerStateDetected { server });
    }

    /// Discovery records the state that the server has now, and distributes it.
    pub(super) fn server_state_detected(&mut self, server: u32) {
        let detected = &self.servers[server as usize];
        let state = match detected.state {
            ServerState::Running => EndpointState::Ready,
            ServerState::Draining => EndpointState::Draining,
            ServerState::Unreachable | ServerState::Stopped => EndpointState::Removed,
        };
        let started_at_ms = detected
            .started_at
            .map_or(0.0, |at| CLOCK_START_MS + at as f64 / 1000.0);
        self.discovery
            .record_change(endpoint(server, detected.zone, state, started_at_ms));
        self.recorder.report.discovery.changes += 1;
        self.distribute_endpoint_list();
    }

    /// Each agent has the list's changes after a delay of its own.
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

    /// An agent has what discovery has, and passes the changes on to its gateway.
    pub(super) fn endpoint_list_arrives(&mut self, process: GatewayProcess) {
        let now = self.queue.now();
        let gateway = &mut self.gateways[process.index as usize];
        let is_current = gateway.list_version == self.discovery.version();
        if gateway.process != process || self.discovery.down || is_current {
            return;
        }
        let endpoints = self.discovery.changes_since(gateway.list_version);
        gateway.list_version = self.discovery.version();
        for endpoint in &endpoints {
            if endpoint.state == EndpointState::Ready {
                gateway.draining_since.remove(&endpoint.id);
            } else {
                gateway.draining_since.entry(endpoint.id).or_insert(now);
            }
        }
        self.recorder.report.discovery.entries_delivered += endpoints.len() as u64;
        self.notify_gateway(
            process.index,
            GatewayEvent::EndpointUpdate {
                complete: false,
                endpoints,
            },
        );
    }
}
