//! Connections from gateways to endpoints: opened or reused for an attempt, released afterwards, closed when idle.

use super::event::Event;
use super::{Simulation, IDLE_CHECK_INTERVAL};
use crate::{ms_to_micros, Micros};
use quota_gateway::Outcome;

/// Connection that an attempt uses.
#[derive(Clone, Copy)]
pub(super) struct ConnectionUse {
    pub(super) is_new: bool,
    /// Whether the endpoint refuses the new connection, as it holds its maximum number of connections.
    pub(super) refused: bool,
}

impl Simulation<'_> {
    /// Takes an idle connection to the endpoint or opens a new one.
    pub(super) fn take_connection(&mut self, gateway: u32, endpoint: u32) -> ConnectionUse {
        let now = self.queue.now();
        let max_idle_time = self.max_idle_time();
        let checkout =
            self.gateways[gateway as usize].take_connection(endpoint, now, max_idle_time);
        let target = &mut self.endpoints[endpoint as usize];
        target.connections -= checkout.closed;
        if !checkout.is_new {
            return ConnectionUse {
                is_new: false,
                refused: false,
            };
        }
        let refused = target.connections >= self.endpoint_parameters.max_connections;
        target.connections += 1;
        ConnectionUse {
            is_new: true,
            refused,
        }
    }

    /// Idle time after which a gateway closes a connection: half of the idle timeout of the rules, as in the gateway's
    /// program. After a longer idle time the endpoint may be about to close the connection.
    fn max_idle_time(&self) -> Micros {
        ms_to_micros(self.experiment.rules.idle_timeout_ms / 2.0)
    }

    /// Returns the connection of an ended attempt to the idle ones after a response; closes it otherwise.
    pub(super) fn release_connection(&mut self, gateway: u32, endpoint: u32, outcome: Outcome) {
        let connections = &mut self.gateways[gateway as usize].connections;
        if matches!(outcome, Outcome::Success | Outcome::Rejected) {
            connections.put_back(endpoint, self.queue.now());
        } else if connections.close_one(endpoint) {
            self.endpoints[endpoint as usize].connections -= 1;
        }
    }

    /// Closes the gateway's connections that have been idle for `max_idle_time`, and schedules the next check.
    pub(super) fn close_idle_connections(&mut self, gateway: u32) {
        let now = self.queue.now();
        let max_idle_time = self.max_idle_time();
        let connections = &mut self.gateways[gateway as usize].connections;
        for (endpoint, closed) in connections.close_idle(now, max_idle_time) {
            self.endpoints[endpoint as usize].connections -= closed;
        }
        if now < self.ends_at {
            self.queue
                .schedule_in(IDLE_CHECK_INTERVAL, Event::IdleConnectionCheck { gateway });
        }
    }
}
