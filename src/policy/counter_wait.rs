//! The time that a request waits for the reply of the shared counter: a multiple of the typical reply time
//! (an EWMA), bounded by shares of the request's latency budget: the time to its latency objective or to its
//! client's timeout, whichever is shorter.

use crate::api::Millis;
use crate::primitives::mean::ExponentialMean;

/// The wait, as a multiple of the typical reply time.
const REPLY_TIME_MULTIPLE: f64 = 3.0;
/// The shortest wait, as a share of the latency budget.
const MIN_BUDGET_SHARE: f64 = 0.05;
/// The longest wait, as a share of the latency budget. The wait stays short compared to the work of the
/// request itself.
const MAX_BUDGET_SHARE: f64 = 0.2;
/// Weight of one reply in the typical reply time.
const REPLY_TIME_GAIN: f64 = 0.05;

/// Adapts the wait for the counter to the counter's reply times.
#[derive(Default)]
pub(super) struct CounterWait {
    /// The typical reply time, in ms; none before the first reply.
    reply_time_ms: Option<ExponentialMean>,
}

impl CounterWait {
    /// Returns the longest wait of a request with this latency budget, in ms.
    pub(super) fn max_wait_ms(&self, latency_budget_ms: Millis) -> Millis {
        let reply_time_ms = self
            .reply_time_ms
            .as_ref()
            .map_or(0.0, ExponentialMean::value);
        let wait_ms = reply_time_ms * REPLY_TIME_MULTIPLE;
        wait_ms.clamp(
            latency_budget_ms * MIN_BUDGET_SHARE,
            latency_budget_ms * MAX_BUDGET_SHARE,
        )
    }

    /// Records a reply that took this long.
    pub(super) fn record_reply(&mut self, elapsed_ms: Millis) {
        let reply_time_ms = self
            .reply_time_ms
            .get_or_insert_with(|| ExponentialMean::new(elapsed_ms, REPLY_TIME_GAIN));
        // A single slow reply must not change the typical reply time much.
        let capped_ms = elapsed_ms.min(reply_time_ms.value() * REPLY_TIME_MULTIPLE);
        reply_time_ms.update(capped_ms);
    }
}

#[cfg(test)]
mod tests;
