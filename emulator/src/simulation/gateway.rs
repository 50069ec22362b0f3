//! One emulated gateway: an instance of the decision library and the gateway's connections to endpoints.

use super::event::GatewayProcess;
use crate::Micros;
use quota_gateway::Gateway;
use rustc_hash::FxHashMap;

/// A gateway's current process, with statistics that are kept over restarts.
pub(super) struct EmulatedGateway {
    pub(super) library: Gateway,
    pub(super) process: GatewayProcess,
    pub(super) zone: u32,
    /// Whether clients' requests are routed to the gateway.
    pub(super) accepts_requests: bool,
    /// Version of the endpoint list that the gateway has.
    pub(super) list_version: usize,
    /// Draining and removed endpoints, with the time at which the gateway was notified of each.
    pub(super) draining_since: FxHashMap<u32, Micros>,
    pub(super) connections: Connections,
    pub(super) stats: LifetimeStats,
}

/// Statistics of a gateway for the report, over all its processes.
#[derive(Default)]
pub(super) struct LifetimeStats {
    pub(super) requests: u64,
    pub(super) max_connections: u32,
    pub(super) attempts_by_endpoint: FxHashMap<u32, u32>,
}

impl EmulatedGateway {
    pub(super) fn new(library: Gateway, process: GatewayProcess, zone: u32) -> Self {
        EmulatedGateway {
            library,
            process,
            zone,
            accepts_requests: true,
            list_version: 0,
            draining_since: FxHashMap::default(),
            connections: Connections::default(),
            stats: LifetimeStats::default(),
        }
    }

    /// Takes a connection to an endpoint: one that has been idle for less than `max_idle_time`, or a new one.
    pub(super) fn take_connection(
        &mut self,
        endpoint: u32,
        now: Micros,
        max_idle_time: Micros,
    ) -> Checkout {
        let checkout = self.connections.take(endpoint, now, max_idle_time);
        self.stats.max_connections = self.stats.max_connections.max(self.connections.open);
        checkout
    }
}

/// Connections of one gateway to all endpoints.
#[derive(Default)]
pub(super) struct Connections {
    by_endpoint: FxHashMap<u32, EndpointConnections>,
    open: u32,
}

/// Connections of one gateway to one endpoint.
#[derive(Default)]
struct EndpointConnections {
    /// Times at which the idle connections became idle, oldest first.
    idle_since: Vec<Micros>,
    open: u32,
}

/// Result of taking a connection.
pub(super) struct Checkout {
    pub(super) is_new: bool,
    /// Number of connections that had been idle for too long and were closed.
    pub(super) closed: u32,
}

impl Connections {
    fn take(&mut self, endpoint: u32, now: Micros, max_idle_time: Micros) -> Checkout {
        let connections = self.by_endpoint.entry(endpoint).or_default();
        let mut closed = 0;
        while let Some(since) = connections.idle_since.pop() {
            if now - since < max_idle_time {
                connections.open -= closed;
                self.open -= closed;
                return Checkout {
                    is_new: false,
                    closed,
                };
            }
            closed += 1;
        }
        connections.open = connections.open - closed + 1;
        self.open = self.open - closed + 1;
        Checkout {
            is_new: true,
            closed,
        }
    }

    /// Returns the connection of an attempt to the idle ones.
    pub(super) fn put_back(&mut self, endpoint: u32, now: Micros) {
        if let Some(connections) = self.by_endpoint.get_mut(&endpoint) {
            connections.idle_since.push(now);
        }
    }

    /// Closes the connection of an attempt. Returns false if the gateway has no connection to the endpoint.
    pub(super) fn close_one(&mut self, endpoint: u32) -> bool {
        let Some(connections) = self.by_endpoint.get_mut(&endpoint) else {
            return false;
        };
        connections.open -= 1;
        self.open -= 1;
        true
    }

    /// Closes connections that have been idle for `max_idle_time`. Returns the number of closed ones by endpoint.
    pub(super) fn close_idle(&mut self, now: Micros, max_idle_time: Micros) -> Vec<(u32, u32)> {
        let mut closed_by_endpoint = Vec::new();
        for (endpoint, connections) in &mut self.by_endpoint {
            let before = connections.idle_since.len();
            connections
                .idle_since
                .retain(|since| now - since < max_idle_time);
            let closed = (before - connections.idle_since.len()) as u32;
            connections.open -= closed;
            self.open -= closed;
            closed_by_endpoint.push((*endpoint, closed));
        }
        self.by_endpoint
            .retain(|_, connections| connections.open > 0);
        closed_by_endpoint
    }

    /// Number of open connections by endpoint.
    pub(super) fn open_by_endpoint(&self) -> impl Iterator<Item = (u32, u32)> + '_ {
        self.by_endpoint
            .iter()
            .map(|(endpoint, connections)| (*endpoint, connections.open))
    }
}
