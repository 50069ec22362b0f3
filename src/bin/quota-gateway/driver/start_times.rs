//! Estimates when endpoints started.
//!
//! Guards against wrong clocks: the list states a start by the clock of the endpoint's machine, and it is compared with
//! the clock of this one. If either is wrong, an endpoint that has just started seems to have run for long, skips slow
//! start and is overloaded. But discovery reports a change soon after it happens: a start that was not known at its last
//! report can't be much older than that.

use crate::discovery::PROPAGATION_LIMIT;
use tokio::time::Instant;

#[cfg(test)]
mod tests;

/// Longest time, in ms, from a change of the list until a gateway is notified of it.
const PROPAGATION_LIMIT_MS: f64 = PROPAGATION_LIMIT.as_millis() as f64;

/// Estimates the start times of endpoints from those that lists state.
#[derive(Default)]
pub struct StartTimes {
    /// When discovery last reported that all changes so far are known; none before the first report.
    synced_at: Option<Instant>,
}

impl StartTimes {
    /// Records that discovery has reported all changes up to now.
    pub fn synced(&mut self) {
        self.synced_at = Some(Instant::now());
    }

    /// The time of a start that was not listed before, in Unix milliseconds of this machine. `started_ms` is the listed
    /// time, 0 if it is long past; `now_ms` the present time. A start in the future, or one that discovery would have
    /// reported earlier, counts as a start now.
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
