//! The rate limit of calls to the counter, adapted by additive increase and multiplicative decrease (AIMD).
//!
//! All gateways share the counter's capacity, and none of them knows it. The rate of calls grows with each
//! success and is cut after a failure. The increase also has a multiplicative part, which is smaller near the
//! rate that last led to failures.

use crate::api::Millis;
use crate::primitives::token_bucket::TokenBucket;

/// Initial rate, in calls per second.
const INITIAL_RATE: f64 = 10.0;
/// Minimum rate, in calls per second. Without any call a gateway would not notice that the counter has
/// recovered.
const MIN_RATE: f64 = 0.2;
/// Maximum rate, in calls per second.
const MAX_RATE: f64 = 10_000.0;
/// Factor on the rate after a failure.
const DECREASE_FACTOR: f64 = 0.75;
/// Calls per second that each success adds to the rate, in addition to a share of the rate.
const ADDITIVE_INCREASE: f64 = 0.02;
/// Share of the rate that each success adds while the rate is well below the rate before the last failures.
const FAST_INCREASE: f64 = 0.04;
/// Share of the rate that each success adds near the rate before the last failures, and above it.
const SLOW_INCREASE: f64 = 0.02;
/// Share of the rate before the last failures above which the increase is slow.
const SLOW_INCREASE_THRESHOLD: f64 = 0.9;
/// Number of consecutive failures after which the counter counts as down and requests no longer wait for its
/// replies.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// The capacity of the bucket, as the time in which the bucket is refilled, in ms.
const BURST_MS: f64 = 500.0;

/// The priority of a call.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallPriority {
    /// A required call may consume the last token.
    Required,
    /// An optional call leaves half of the bucket to required calls.
    Optional,
}

/// A token bucket with an adaptive rate.
pub(crate) struct CallLimiter {
    /// Calls per second.
    rate: f64,
    bucket: TokenBucket,
    refilled_at: Millis,
    /// The rate before the last series of failures; none before the first failure.
    rate_before_failures: Option<f64>,
    decreased_at: Millis,
    consecutive_failures: u32,
}

impl CallLimiter {
    pub(crate) fn new(now: Millis) -> Self {
        CallLimiter {
            rate: INITIAL_RATE,
            bucket: TokenBucket::new(INITIAL_RATE),
            refilled_at: now,
            rate_before_failures: None,
            decreased_at: f64::NEG_INFINITY,
            consecutive_failures: 0,
        }
    }

    /// Consumes a token if the bucket has one for a call of this priority. Returns whether it did.
    pub(crate) fn try_acquire(&mut self, now: Millis, priority: CallPriority) -> bool {
        let capacity = (self.rate * BURST_MS / 1000.0).max(1.0);
        let refilled = (now - self.refilled_at).max(0.0) / 1000.0 * self.rate;
        self.bucket.add_tokens(refilled, capacity);
        self.refilled_at = now;
        let needed = match priority {
            CallPriority::Required => 1.0,
            CallPriority::Optional => 1.0 + capacity / 2.0,
        };
        let acquired = self.bucket.has_tokens(needed);
        if acquired {
            self.bucket.consume_tokens(1.0);
        }
        acquired
    }

    /// Returns whether no token was left after the last call of `try_acquire`.
    pub(crate) fn is_exhausted(&self) -> bool {
        !self.bucket.has_tokens(1.0)
    }

    /// Returns whether the counter counts as down, so that requests don't wait for it: its last calls were
    /// rejected, too slow, timed out or found no connection. Error responses, which include invalid ones, and
    /// broken connections don't count as failures here.
    pub(crate) fn is_down(&self) -> bool {
        self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
    }

    pub(crate) fn on_success(&mut self) {
        // The counter is up again. Starting from the minimum rate, it would take long to reach the former
        // rate.
        if let Some(rate_before_failures) = self.rate_before_failures.filter(|_| self.is_down()) {
            self.rate = self.rate.max(rate_before_failures / 2.0);
        }
        self.consecutive_failures = 0;
        let is_near_failures = self
            .rate_before_failures
            .is_some_and(|before| self.rate > before * SLOW_INCREASE_THRESHOLD);
        let increase = if is_near_failures {
            SLOW_INCREASE
        } else {
            FAST_INCREASE
        };
        self.rate = (self.rate * (1.0 + increase) + ADDITIVE_INCREASE).min(MAX_RATE);
    }

    /// Records the failure of a call that was started at `started_at`.
    pub(crate) fn on_failure(&mut self, now: Millis, started_at: Millis) {
        if self.consecutive_failures == 0 {
            self.rate_before_failures = Some(self.rate);
        }
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        // Calls that were queued together at the counter fail together: they lead to one decrease.
        if started_at >= self.decreased_at {
            self.rate = (self.rate * DECREASE_FACTOR).max(MIN_RATE);
            self.decreased_at = now;
        }
    }
}

#[cfg(test)]
mod tests;
