//! One emulated gateway: an instance of the decision library and its connections to endpoints.

use super::event::GatewayProcess;
use crate::Micros;
use quota_gateway::Gateway;
use rustc_hash::FxHashMap;

/// A gateway's present process, with figures that last over its restarts.
pub(super) struct EmulatedGateway {
    pub(super) library: Gateway,
    pub(super) process: GatewayProcess,
    pub(super) zone: u32,
    /// Whether clients' requests are routed to it.
    pub(super) accepts_requests: bool,
    /// The version of the endpoint list that it has.
    pub(super) list_version: usize,
    /// Endpoints that must get no new attempts, and when the gateway was notified of that.
    pub(super) draining_since: FxHashMap<u32, Micros>,
    pub(super) connections: Connections,
    pub(super) stats: LifetimeStats,
}

/// What the report says of a gateway, over all its processes.
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

    /// Takes a connection to an endpoint: an idle one that is still open, or a new one.
    pub(super) fn take_connection(
        &mut self,
        endpoint: u32,
        now: Micros,
        idle_timeout: Micros,
    ) -> Checkout {
        let checkout = self.connections.take(endpoint, now, idle_timeout);
        self.stats.max_connections = self.stats.max_connections.max(self.connections.open);
        checkout
    }
}

/// Connections of one gateway.
#[derive(Default)]
pub(super) struct Connections {
    by_endpoint: FxHashMap<u32, EndpointConnections>,
    open: u32,
}

/// Connections of one gateway to one endpoint.
#[derive(Default)]
struct EndpointConnections {
    /// Since when each idle connection has been idle.
    idle_since: Vec<Micros>,
    open: u32,
}

/// Which connection an attempt uses.
pub(super) struct Checkout {
    pub(super) is_new: bool,
    /// Idle connections that were found to have timed out, and are closed.
    pub(super) closed: u32,
}

impl Connections {
    fn take(&mut self, endpoint: u32, now: Micros, idle_timeout: Micros) -> Checkout {
        let connections = self.by_endpoint.entry(endpoint).or_default();
        let mut closed = 0;
        while let Some(since) = connections.idle_since.pop() {
            if now - since < idle_timeout {
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

    /// The connection of an attempt is idle again.
    pub(super) fn put_back(&mut self, endpoint: u32, now: Micros) {
        if let Some(connections) = self.by_endpoint.get_mut(&endpoint) {
            connections.idle_since.push(now);
        }
    }

    /// The connection of an attempt is closed with it; false if there is none.
    pub(super) fn close_one(&mut self, endpoint: u32) -> bool {
        let Some(connections) = self.by_endpoint.get_mut(&endpoint) else {
            return false;
        };
        connections.open -= 1;
        self.open -= 1;
        true
    }

    /// Closes connections that have been idle for too long. Returns how many by endpoint.
    pub(super) fn close_idle(&mut self, now: Micros, idle_timeout: Micros) -> Vec<(u32, u32)> {
        let mut closed_by_endpoint = Vec::new();
        for (endpoint, connections) in &mut self.by_endpoint {
            let before = connections.idle_since.len();
            connections
                .idle_since
                .retain(|since| now - since < idle_timeout);
            let closed = (before - connections.idle_since.len()) as u32;
            connections.open -= closed;
            self.open -= closed;
            closed_by_endpoint.push((*endpoint, closed));
        }
        self.by_endpoint
            .retain(|_, connections| connections.open > 0);
        closed_by_endpoint
    }

    /// Open connections by endpoint.
    pub(super) fn open_by_endpoint(&self) -> impl Iterator<Item = (u32, u32)> + '_ {
        self.by_endpoint
            .iter()
            .map(|(endpoint, connections)| (*endpoint, connections.open))
    }
}
