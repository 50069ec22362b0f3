//! A rate limiter that finds its part of the capacity of a shared service: its rate grows with each success and
//! is cut with each failure (additive increase, multiplicative decrease).

use super::token_bucket::TokenBucket;

/// How an [`AimdLimiter`] adapts. Rates are in calls per second.
pub(crate) struct AimdParameters {
    pub(crate) initial_rate: f64,
    pub(crate) min_rate: f64,
    pub(crate) max_rate: f64,
    /// Share of the rate that a failure leaves.
    pub(crate) decrease_factor: f64,
    /// Calls per second that a success adds, beside its share of the rate.
    pub(crate) additive_increase: f64,
    /// Share of the rate that a success adds below `near_share` of the rate before the last failures.
    pub(crate) fast_increase: f64,
    /// Share of the rate that a success adds above it.
    pub(crate) slow_increase: f64,
    /// From this share of the rate before the last failures on, the rate counts as near to it.
    pub(crate) near_share: f64,
    /// Failures in a row after which the service counts as down.
    pub(crate) max_consecutive_failures: u32,
    /// The capacity of the bucket, as the time in which it fills, in ms.
    pub(crate) burst_ms: f64,
}

/// How much a call matters.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallPriority {
    /// Takes the last token.
    Required,
    /// Leaves half of the bucket to required calls.
    Optional,
}

/// A token bucket whose rate adapts. Times are in ms.
pub(crate) struct AimdLimiter {
    parameters: &'static AimdParameters,
    rate: f64,
    bucket: TokenBucket,
    refilled_at: f64,
    /// The rate before the last failures; none before the first failure.
    rate_before_failures: Option<f64>,
    decreased_at: f64,
    consecutive_failures: u32,
}

impl AimdLimiter {
    /// A limiter at its initial rate, with a second's worth of tokens.
    pub(crate) fn new(parameters: &'static AimdParameters, now: f64) -> Self {
        AimdLimiter {
            parameters,
            rate: parameters.initial_rate,
            bucket: TokenBucket::new(parameters.initial_rate),
            refilled_at: now,
            rate_before_failures: None,
            decreased_at: f64::NEG_INFINITY,
            consecutive_failures: 0,
        }
    }

    /// Takes a token, if there is one for a call of this priority.
    pub(crate) fn try_acquire(&mut self, now: f64, priority: CallPriority) -> bool {
        let capacity = (self.rate * self.parameters.burst_ms / 1000.0).max(1.0);
        let refill = (now - self.refilled_at).max(0.0) / 1000.0 * self.rate;
        self.bucket.refill(refill, capacity);
        self.refilled_at = now;
        let needed = match priority {
            CallPriority::Required => 1.0,
            CallPriority::Optional => 1.0 + capacity / 2.0,
        };
        let acquired = self.bucket.has(needed);
        if acquired {
            self.bucket.take(1.0);
        }
        acquired
    }

    /// Whether no token was left when it was last asked.
    pub(crate) fn is_exhausted(&self) -> bool {
        !self.bucket.has(1.0)
    }

    /// Whether the service counts as down.
    pub(crate) fn is_down(&self) -> bool {
        self.consecutive_failures >= self.parameters.max_consecutive_failures
    }

    /// A call has succeeded.
    pub(crate) fn on_success(&mut self) {
        // When the service is back, half of the former rate returns at once.
        if let Some(before) = self.rate_before_failures.filter(|_| self.is_down()) {
            self.rate = self.rate.max(before / 2.0);
        }
        self.consecutive_failures = 0;
        let near =
            self.rate_before_failures.is_some_and(|before| self.rate > before * self.parameters.near_share);
        let share = if near { self.parameters.slow_increase } else { self.parameters.fast_increase };
        self.rate =
            (self.rate * (1.0 + share) + self.parameters.additive_increase).min(self.parameters.max_rate);
    }

    /// A call that began at `started_at` has failed.
    pub(crate) fn on_failure(&mut self, now: f64, started_at: f64) {
        if self.consecutive_failures == 0 {
            self.rate_before_failures = Some(self.rate);
        }
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        // Calls that queued together are slow together: one decrease for all of them.
        if started_at >= self.decreased_at {
            self.rate = (self.rate * self.parameters.decrease_factor).max(self.parameters.min_rate);
            self.decreased_at = now;
        }
    }
}

#[cfg(test)]
mod tests;
