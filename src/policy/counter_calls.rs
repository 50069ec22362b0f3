//! When the shared counter is called, and for how long a request waits for its answer.

use crate::api::{Millis, Outcome};
use crate::primitives::adaptive_timeout::{AdaptiveTimeout, TimeoutParameters};
use crate::primitives::aimd::{AimdLimiter, AimdParameters};
use crate::state::{Context, CounterReply};

/// How long requests wait for the counter: small beside the work itself, unless its replies take longer.
const WAIT: TimeoutParameters =
    TimeoutParameters { multiple: 3.0, min_share: 0.05, max_share: 0.2, gain: 0.05 };
/// The rate of calls. All gateways share the counter's capacity and none knows it, so each finds its part by
/// what fails.
const CALL_RATE: AimdParameters = AimdParameters {
    initial_rate: 10.0,
    min_rate: 0.2,      // enough to notice that the counter is back
    max_rate: 10_000.0, // more than any counter can take
    decrease_factor: 0.75,
    additive_increase: 0.02,
    fast_increase: 0.04, // with a larger one many gateways soon overload the counter again
    slow_increase: 0.02,
    near_share: 0.9,
    max_consecutive_failures: 3, // after that, requests no longer wait for the counter
    burst_ms: 500.0,             // evens out chance
};

/// Paces the calls to the counter, and bounds the wait for their answers.
pub(crate) struct CounterCalls {
    pub(crate) limiter: AimdLimiter,
    pub(crate) wait: AdaptiveTimeout,
}

impl CounterCalls {
    pub(crate) fn new(now: Millis) -> Self {
        CounterCalls { limiter: AimdLimiter::new(&CALL_RATE, now), wait: AdaptiveTimeout::new(&WAIT) }
    }

    /// Learns from a reply. Returns whether it shows that the counter has no capacity for all calls.
    pub(crate) fn record_reply(&mut self, cx: &Context, reply: &CounterReply) -> bool {
        let objectives = cx.settings.classes.iter().map(|class| class.latency_objective_ms);
        let max_wait_ms = self.wait.timeout(objectives.fold(f64::INFINITY, f64::min));
        let valid = reply.valid_total().is_some();
        if valid {
            self.wait.record_reply(reply.elapsed_ms);
        }
        if valid && reply.elapsed_ms <= max_wait_ms {
            self.limiter.on_success();
            return false;
        }
        // An invalid response, or a broken connection, tells nothing of the counter's capacity. One slower
        // than the wait counts as a failure, as it leaves requests unchecked, too.
        if matches!(reply.outcome, Outcome::ErrorResponse | Outcome::ConnectionReset) {
            return false;
        }
        self.limiter.on_failure(cx.now, cx.now - reply.elapsed_ms);
        true
    }
}
