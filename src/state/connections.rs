//! An estimate of the open connections to one endpoint. No event reports that a connection was opened or closed.

use crate::api::{Limits, Millis, Outcome};

/// Estimates the open connections to an endpoint from the attempts sent and their outcomes. `policy::connections`
/// decides how long an idle connection counts as usable, and how many endpoints are worth a connection.
pub(crate) struct ConnectionEstimate {
    /// Idle time after which the connections count as closed, in ms.
    usable_idle_ms: f64,
    /// Maximum number of attempts in flight on one connection.
    attempts_per_connection: u32,
    /// Estimated number of open connections.
    open_connections: u32,
    /// Time at which an attempt last ended with a success, an error response or a rejection.
    last_used_at: Millis,
}

impl ConnectionEstimate {
    pub(crate) fn new(limits: &Limits, usable_idle_ms: f64, now: Millis) -> Self {
        let attempts_per_connection = limits.requests_per_connection.max(1);
        ConnectionEstimate {
            usable_idle_ms,
            attempts_per_connection,
            open_connections: 0,
            last_used_at: now,
        }
    }

    /// Whether the connections were used recently enough to count as open.
    fn are_usable(&self, now: Millis) -> bool {
        now - self.last_used_at < self.usable_idle_ms
    }

    /// Whether an open connection is likely to have capacity for one more attempt.
    pub(crate) fn has_free_connection(&self, now: Millis, in_flight: u32) -> bool {
        self.are_usable(now) && in_flight < self.open_connections * self.attempts_per_connection
    }

    /// Records that an attempt was sent. `in_flight` includes that attempt.
    pub(crate) fn attempt_started(&mut self, now: Millis, in_flight: u32) {
        let needed = in_flight.div_ceil(self.attempts_per_connection);
        self.open_connections = if self.are_usable(now) {
            self.open_connections.max(needed)
        } else {
            needed
        };
    }

    pub(crate) fn attempt_ended(&mut self, now: Millis, outcome: Outcome) {
        match outcome {
            Outcome::Success | Outcome::ErrorResponse | Outcome::Rejected => {
                self.last_used_at = now;
            }
            Outcome::ConnectFailed => {
                self.open_connections = self.open_connections.saturating_sub(1);
            }
            Outcome::Timeout | Outcome::ConnectionReset | Outcome::Cancelled | Outcome::NotSent => {
                // The connection is closed with the attempt, unless it may carry other attempts.
                if self.attempts_per_connection == 1 {
                    self.open_connections = self.open_connections.saturating_sub(1);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
