//! Connections from gateways to endpoints: opened or reused for an attempt, released after it, closed when idle.

use super::event::Event;
use super::{Simulation, IDLE_CHECK_INTERVAL};
use crate::{micros, Micros};
use quota_gateway::Outcome;

/// What opening or reusing a connection meant for an attempt.
#[derive(Clone, Copy)]
pub(super) struct ConnectionUse {
    pub(super) is_new: bool,
    /// The endpoint holds as many connections as it accepts.
    pub(super) refused: bool,
}

impl Simulation<'_> {
    /// Takes an idle connection or opens a new one.
    pub(super) fn take_connection(&mut self, gateway: u32, endpoint: u32) -> ConnectionUse {
        let now = self.queue.now();
        // As the program has it: a connection counts as closed from half the time-out on.
        let idle_timeout = self.idle_timeout();
        let checkout = self.gateways[gateway as usize].take_connection(endpoint, now, idle_timeout);
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

    fn idle_timeout(&self) -> Micros {
        micros(self.experiment.rules.idle_timeout_ms / 2.0)
    }

    /// After a response the connection is idle again; without one it is closed.
    pub(super) fn release_connection(&mut self, gateway: u32, endpoint: u32, outcome: Outcome) {
        let connections = &mut self.gateways[gateway as usize].connections;
        if matches!(outcome, Outcome::Success | Outcome::Rejected) {
            connections.put_back(endpoint, self.queue.now());
        } else if connections.close_one(endpoint) {
            self.endpoints[endpoint as usize].connections -= 1;
        }
    }

    /// A gateway closes connections that have been idle for too long.
    pub(super) fn close_idle_connections(&mut self, gateway: u32) {
        let now = self.queue.now();
        let idle_timeout = self.idle_timeout();
        let connections = &mut self.gateways[gateway as usize].connections;
        for (endpoint, closed) in connections.close_idle(now, idle_timeout) {
            self.endpoints[endpoint as usize].connections -= closed;
        }
        if now < self.ends_at {
            self.queue
                .schedule_in(IDLE_CHECK_INTERVAL, Event::IdleConnectionCheck { gateway });
        }
    }
}
