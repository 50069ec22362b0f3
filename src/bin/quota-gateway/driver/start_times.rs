//! Estimates the start times of endpoints.
//!
//! Guards against wrong clocks: the list states a start time by the clock of the endpoint's machine, and the gateway
//! compares it with the clock of its own machine. If either clock is wrong, an endpoint that has just started seems to
//! have run for long, skips slow start and is overloaded. But discovery reports a change soon after it happens: a start
//! that was not known at discovery's last report can't be much older than that report.

use crate::discovery::PROPAGATION_LIMIT;
use tokio::time::Instant;

#[cfg(test)]
mod tests;

/// Longest time from a change of the list until a gateway is notified of it, in ms.
const PROPAGATION_LIMIT_MS: f64 = PROPAGATION_LIMIT.as_millis() as f64;

/// Estimates the start times of endpoints from the listed ones.
#[derive(Default)]
pub struct StartTimes {
    /// Time of the last report of discovery that all changes so far are known; `None` before the first report.
    synced_at: Option<Instant>,
}

impl StartTimes {
    /// Records that discovery has reported all changes up to now.
    pub fn mark_synced(&mut self) {
        self.synced_at = Some(Instant::now());
    }

    /// Estimates a start that was not listed before, in Unix milliseconds by this machine's clock. `started_ms` is the
    /// listed time, 0 if it is long past. `now_ms` is the current time. A start in the future, or one that discovery
    /// would have reported earlier, counts as a start now.
    pub fn estimate(&self, started_ms: f64, now_ms: f64) -> f64 {
        let started_ms = started_ms.min(now_ms);
        let Some(synced_at) = self.synced_at else {
            return started_ms;
        };
        let max_age_ms = synced_at.elapsed().as_secs_f64() * 1000.0 + PROPAGATION_LIMIT_MS;
        if started_ms > 0.0 && now_ms - started_ms > max_age_ms {
            now_ms
        } else {
            started_ms
        }
    }
}
