//! The open connections to one endpoint, estimated: no event reports that one was opened or closed.

use crate::api::{Limits, Millis, Outcome};

/// The estimate, from the attempts that were sent and how they ended. What counts as usable and how many endpoints
/// are worth a connection is decided by `policy::connections`.
pub(crate) struct ConnectionEstimate {
    /// Idle time after which connections count as closed, in ms.
    usable_idle_ms: f64,
    /// Most attempts in flight on one connection.
    attempts_per_connection: u32,
    open: u32,
    /// When an attempt on one of them last ended with a success, an error or a rejection.
    used_at: Millis,
}

impl ConnectionEstimate {
    pub(crate) fn new(limits: &Limits, usable_idle_ms: f64, now: Millis) -> Self {
        let attempts_per_connection = limits.requests_per_connection.max(1);
        ConnectionEstimate {
            usable_idle_ms,
            attempts_per_connection,
            open: 0,
            used_at: now,
        }
    }

    /// Whether the connections were used recently enough to be open still.
    fn are_usable(&self, now: Millis) -> bool {
        now - self.used_at < self.usable_idle_ms
    }

    /// Whether a connection is likely to be open and able to carry one more attempt.
    pub(crate) fn has_free(&self, now: Millis, in_flight: u32) -> bool {
        self.are_usable(now) && in_flight < self.open * self.attempts_per_connection
    }

    /// An attempt has been sent; `in_flight` includes it.
    pub(crate) fn attempt_started(&mut self, now: Millis, in_flight: u32) {
        let needed = in_flight.div_ceil(self.attempts_per_connection);
        self.open = if self.are_usable(now) {
            self.open.max(needed)
        } else {
            needed
        };
    }

    pub(crate) fn attempt_ended(&mut self, now: Millis, outcome: Outcome) {
        match outcome {
            Outcome::Success | Outcome::ErrorResponse | Outcome::Rejected => self.used_at = now,
            Outcome::ConnectFailed => self.open = self.open.saturating_sub(1),
            Outcome::Timeout | Outcome::ConnectionReset | Outcome::Cancelled | Outcome::NotSent => {
                // The connection is closed with the attempt, unless it may carry others.
                if self.attempts_per_connection == 1 {
                    self.open = self.open.saturating_sub(1);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
