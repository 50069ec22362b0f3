//! The warm-up of one endpoint: the current share of its capacity, and the token bucket that limits its attempts.

use crate::api::Millis;
use crate::primitives::ramp::LinearRamp;
use crate::primitives::token_bucket::TokenBucket;

/// The warm-up state of an endpoint. `policy::slow_start` decides on the permitted rate of attempts, and has the method
/// that refills the tokens.
pub(crate) struct WarmUp {
    /// The capacity over time; `None` if the endpoint has not started recently. Boxed, as nearly all endpoints have no
    /// ramp and their records should stay small.
    ramp: Option<Box<LinearRamp>>,
    /// Each attempt consumes one token.
    pub(crate) tokens: TokenBucket,
    /// Time of the last refill.
    pub(crate) refilled_at: Millis,
}

impl WarmUp {
    /// Creates the state with `tokens` initial tokens. An endpoint without a ramp is warm.
    pub(crate) fn new(ramp: Option<LinearRamp>, tokens: f64, now: Millis) -> Self {
        WarmUp {
            ramp: ramp.map(Box::new),
            tokens: TokenBucket::new(tokens),
            refilled_at: now,
        }
    }

    /// Whether the endpoint has started recently. It may have become warm since.
    pub(crate) fn has_ramp(&self) -> bool {
        self.ramp.is_some()
    }

    /// The endpoint's share of its full capacity; `None` once it is warm.
    pub(crate) fn capacity_share(&self, now: Millis) -> Option<f64> {
        self.ramp.as_ref()?.share_at(now)
    }

    /// Whether a token is available for an attempt.
    pub(crate) fn has_token(&self) -> bool {
        self.tokens.has_tokens(1.0)
    }

    /// Consumes the token of an attempt that was sent. Without an available token, the balance becomes negative.
    pub(crate) fn consume_token(&mut self) {
        self.tokens.consume_tokens(1.0);
    }
}

#[cfg(test)]
mod tests;
