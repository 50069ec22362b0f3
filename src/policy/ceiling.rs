//! The hard ceiling of a plan: a second quota, which is enforced also while the counter is down. Gateways
//! don't exchange its usage. Each enforces an equal share of it, with a token bucket.
//!
//! The usage of a customer can still exceed the ceiling in two cases. The units that a request states on
//! arrival are counted, not those that it really used; they are counted once, at its first attempt. And a
//! customer that was forgotten as the table of customers was full comes back with a full share, unless the
//! gateway started recently.

use crate::api::{Millis, Plan, Settings};
use crate::primitives::token_bucket::TokenBucket;

/// One gateway's share of the ceiling of a customer.
pub(crate) struct CeilingShare {
    /// Units per second of the ceiling itself.
    rate: f64,
    /// The share as a fraction of the ceiling.
    share: f64,
    /// Units of this gateway's full bucket.
    capacity: f64,
}

impl CeilingShare {
    /// The share where the customer's requests come through `gateway_set_size` gateways.
    pub(crate) fn new(settings: &Settings, plan: &Plan, gateway_set_size: f64) -> Self {
        let gateway_count = f64::from(settings.gateway_count.max(1));
        let share = 1.0 / gateway_set_size.clamp(1.0, gateway_count);
        CeilingShare {
            rate: plan.ceiling_rate,
            share,
            capacity: plan.ceiling_burst * share,
        }
    }

    /// The bucket of a customer not seen before. A restarted gateway can't know what it forwarded before the
    /// restart, and could exceed the ceiling with a full bucket: it holds what has been refilled since then.
    pub(crate) fn initial_bucket(&self, uptime_ms: Millis) -> TokenBucket {
        let elapsed_s = uptime_ms.max(0.0) / 1000.0;
        TokenBucket::new(self.refill_units(elapsed_s).min(self.capacity))
    }

    pub(crate) fn refill(&self, bucket: &mut TokenBucket, elapsed_s: f64) {
        bucket.refill(self.refill_units(elapsed_s), self.capacity);
    }

    fn refill_units(&self, elapsed_s: f64) -> f64 {
        elapsed_s * self.rate * self.share
    }
}

#[cfg(test)]
mod tests;
