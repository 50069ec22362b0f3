//! When the shared counter is called, and for how long a request waits for its answer.

use crate::api::{Millis, Outcome};
use crate::policy::call_limiter::CallLimiter;
use crate::primitives::adaptive_timeout::{AdaptiveTimeout, TimeoutParameters};
use crate::state::{Context, CounterReply};

/// How long requests wait for the counter: small beside the work itself, unless its replies take longer.
const WAIT: TimeoutParameters = TimeoutParameters {
    multiple: 3.0,
    min_share: 0.05,
    max_share: 0.2,
    gain: 0.05,
};

/// Paces the calls to the counter, and bounds the wait for their answers.
pub(crate) struct CounterCalls {
    pub(crate) limiter: CallLimiter,
    pub(crate) wait: AdaptiveTimeout,
}

impl CounterCalls {
    pub(crate) fn new(now: Millis) -> Self {
        CounterCalls {
            limiter: CallLimiter::new(now),
            wait: AdaptiveTimeout::new(&WAIT),
        }
    }

    /// Learns from a reply. Returns whether it shows that the counter has no capacity for all calls.
    pub(crate) fn record_reply(&mut self, cx: &Context, reply: &CounterReply) -> bool {
        let objectives = cx
            .settings
            .classes
            .iter()
            .map(|class| class.latency_objective_ms);
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
        if matches!(
            reply.outcome,
            Outcome::ErrorResponse | Outcome::ConnectionReset
        ) {
            return false;
        }
        self.limiter.on_failure(cx.now, cx.now - reply.elapsed_ms);
        true
    }
}
