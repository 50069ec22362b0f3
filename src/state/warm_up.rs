//! The warm-up of one endpoint: how much of its capacity it has, and the attempts that it may be sent meanwhile.

use crate::api::Millis;
use crate::primitives::ramp::LinearRamp;
use crate::primitives::token_bucket::TokenBucket;

/// The warm-up. `policy::slow_start` decides on the rate at which attempts are permitted, and has the method that
/// refills the tokens.
pub(crate) struct WarmUp {
    /// Boxed to keep the records of warm endpoints, which are nearly all, small.
    ramp: Option<Box<LinearRamp>>,
    /// One token for each attempt.
    pub(crate) tokens: TokenBucket,
    pub(crate) refilled_at: Millis,
}

impl WarmUp {
    /// Without a ramp the endpoint is warm.
    pub(crate) fn new(ramp: Option<LinearRamp>, tokens: f64, now: Millis) -> Self {
        WarmUp {
            ramp: ramp.map(Box::new),
            tokens: TokenBucket::new(tokens),
            refilled_at: now,
        }
    }

    /// Whether the endpoint has started recently, though it may be warm by now.
    pub(crate) fn has_ramp(&self) -> bool {
        self.ramp.is_some()
    }

    /// Share of its capacity that the endpoint has; none once it is warm.
    pub(crate) fn capacity_share(&self, now: Millis) -> Option<f64> {
        self.ramp.as_ref()?.share_at(now)
    }

    /// Whether a token is left for an attempt.
    pub(crate) fn has_token(&self) -> bool {
        self.tokens.has(1.0)
    }

    /// An attempt has been sent, with a token or without one, which is then owed.
    pub(crate) fn take_token(&mut self) {
        self.tokens.take(1.0);
    }
}

#[cfg(test)]
mod tests;
