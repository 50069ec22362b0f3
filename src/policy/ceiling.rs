//! The hard ceiling of a plan: a second quota, which is enforced even while the counter is down.
//!
//! Gateways don't exchange usage of the ceiling. Each of them enforces an equal share of it with a token
//! bucket.
//!
//! A customer can still exceed the ceiling in two cases. First, a request counts with the units that it
//! states on arrival, once, at its first attempt, and not with the units that it really uses. Second, a
//! customer that was forgotten because the table of customers was full returns with a full share, unless the
//! gateway started recently.

use crate::api::{Millis, Plan, Settings};
use crate::primitives::token_bucket::TokenBucket;

/// One gateway's share of the ceiling of a customer.
pub(crate) struct CeilingShare {
    /// Rate of the whole ceiling, in units per second.
    rate: f64,
    /// This gateway's share, as a fraction of the ceiling.
    share: f64,
    /// Capacity of this gateway's bucket, in units.
    capacity: f64,
}

impl CeilingShare {
    /// Creates the share of a customer whose requests arrive through `gateway_set_size` gateways.
    pub(crate) fn new(settings: &Settings, plan: &Plan, gateway_set_size: f64) -> Self {
        let gateway_count = f64::from(settings.gateway_count.max(1));
        let share = 1.0 / gateway_set_size.clamp(1.0, gateway_count);
        CeilingShare {
            rate: plan.ceiling_rate,
            share,
            capacity: plan.ceiling_burst * share,
        }
    }

    /// Returns the bucket of a customer that is new to this gateway. A restarted gateway doesn't know what it
    /// forwarded before the restart, and could exceed the ceiling with a full bucket. The bucket therefore
    /// holds only what has been refilled since the start.
    pub(crate) fn initial_bucket(&self, uptime_ms: Millis) -> TokenBucket {
        let elapsed_s = uptime_ms.max(0.0) / 1000.0;
        TokenBucket::new(self.refill_units(elapsed_s).min(self.capacity))
    }

    pub(crate) fn refill(&self, bucket: &mut TokenBucket, elapsed_s: f64) {
        bucket.add_tokens(self.refill_units(elapsed_s), self.capacity);
    }

    fn refill_units(&self, elapsed_s: f64) -> f64 {
        elapsed_s * self.rate * self.share
    }
}

#[cfg(test)]
mod tests;
