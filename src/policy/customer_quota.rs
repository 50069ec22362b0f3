//! One customer's quota: the units left for a request, how the two levels change, and when they must be
//! full again.
//!
//! A customer has two levels. `Customer::quota` is corrected by the totals of the shared counter. While the
//! counter is short of capacity, totals are few, and gateways exchange usage by gossip:
//! `Customer::gossip_level` is corrected by their messages, and the totals lack what could not be charged.

use crate::api::{Millis, Plan, Settings};
use crate::policy::shared_quota::{refill_time_s, time_constant_s, PeerUsage, QuotaLimits};
use crate::state::{Charge, ChargeResult, Customer};

/// A customer is forgotten once it was idle for this many time constants in which its usage decays: its quota
/// must be full again.
const IDLE_TIME_CONSTANTS: f64 = 3.0;
/// Retry-After of a request over its quota, in ms for each second in which the missing units are refilled:
/// half of that time.
const RETRY_AFTER_MS_PER_REFILL_SECOND: f64 = 500.0;
/// Shortest idle time after which a customer is forgotten, in ms.
const MIN_IDLE_MS: Millis = 1000.0;

impl Customer {
    /// Refills the levels of the quota up to now and returns the time since they were last refilled, in s.
    pub(super) fn refill(
        &mut self,
        now: Millis,
        limits: QuotaLimits,
        peer_usage: PeerUsage,
    ) -> f64 {
        let elapsed_s = self.quota.refill(now, limits, peer_usage);
        self.gossip_level = (self.gossip_level + elapsed_s * limits.rate).min(limits.burst);
        elapsed_s
    }

    /// Units left for a request that has just arrived. The levels can only be too high: they don't show
    /// what was used at other gateways since the last total or message.
    pub(super) fn available_units(&self, burst: f64, gossip_active: bool) -> f64 {
        let level = if gossip_active {
            self.gossip_level
        } else {
            self.quota.level.min(burst)
        };
        level - self.reserved_units
    }

    /// Units left for a request that has waited for the counter.
    pub(super) fn counted_units(&self, gossip_active: bool) -> f64 {
        if gossip_active {
            self.quota.level.min(self.gossip_level)
        } else {
            self.quota.level
        }
    }

    /// Applies the reply to a charge.
    pub(super) fn apply_result(
        &mut self,
        now: Millis,
        charge: Charge,
        result: ChargeResult,
        limits: QuotaLimits,
        gossip_active: bool,
    ) {
        match result {
            ChargeResult::Counted { total } => {
                self.refill(now, limits, PeerUsage::AwaitTotal);
                let applied = self.quota.apply_total(now, charge, total, limits);
                if applied && !gossip_active {
                    self.gossip_level = self.quota.level;
                }
            }
            // Only the units of the request itself are settled with a later charge. Earlier unsettled units
            // that the charge carried as well are dropped: the shared count never gets them.
            ChargeResult::NotCounted => self.quota.settle_later(now, charge.units, limits),
            // Charged again, the units could count twice and the customer lose quota that it hasn't used.
            // If the counter has not counted them, they are missing from the shared count.
            ChargeResult::MayHaveCounted => {}
        }
    }

    /// Attempts in flight at all gateways. Those of this one are counted, and so are its calls to the
    /// counter in flight: a request that waits for one is about to be sent. Calls that only settle units or
    /// query the total count as well, and a request that is sent before its call has ended counts twice.
    /// Those of its peers are estimated by Little's law from their rate of usage, the mean units of a
    /// request and the duration of an attempt.
    pub(super) fn concurrent_attempts(&self, mean_units: f64, duration_ms: Millis) -> f64 {
        let at_peers = self.quota.peer_rate / mean_units * duration_ms / 1000.0;
        f64::from(self.in_flight + self.pending_calls) + at_peers.round()
    }

    /// Subtracts units that were used at a peer, or adds a refund if negative, up to the burst. Nothing
    /// changes where the units are above the level. That holds for a refund, too: at a level of -7, units
    /// of -5 are left out, while units of -8 are added.
    pub(super) fn record_peer_usage(&mut self, units: f64, burst: f64) {
        if self.gossip_level >= units {
            self.gossip_level = (self.gossip_level - units).min(burst);
        }
    }
}

/// Time after which a client may retry a request of these units that is over its quota, in ms.
pub(super) fn retry_after_ms(plan: &Plan, units: f64, level: f64) -> Millis {
    let missing_units = units.min(plan.burst) - level;
    (missing_units / plan.rate * RETRY_AFTER_MS_PER_REFILL_SECOND).max(0.0)
}

/// How long a customer of any plan has to be idle until its quota and its ceiling are full again, in ms.
pub(super) fn idle_timeout_ms(settings: &Settings) -> Millis {
    let until_full_ms = |plan: &Plan| {
        let quota_ms = time_constant_s(plan) * IDLE_TIME_CONSTANTS * 1000.0;
        quota_ms.max(refill_time_s(plan.ceiling_burst, plan.ceiling_rate) * 1000.0)
    };
    settings
        .plans
        .iter()
        .map(until_full_ms)
        .fold(MIN_IDLE_MS, f64::max)
}

#[cfg(test)]
mod tests;
