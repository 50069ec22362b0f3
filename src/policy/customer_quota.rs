//! The quota of one customer: the units left for a request, the corrections of its two levels, and the time
//! after which both must be full again.
//!
//! `Customer::quota` is corrected by the totals of the shared counter. While the counter is short of
//! capacity, totals are rare and gateways exchange usage by gossip. `Customer::gossip_level` is then
//! corrected by the gossip messages and not by the totals, which lack the units that could not be charged.

use crate::api::{Millis, Plan, Settings};
use crate::policy::shared_quota::{refill_time_s, time_constant_s, PeerUsage, QuotaLimits};
use crate::state::{Charge, ChargeResult, Customer};

/// Idle time after which a customer is forgotten, in time constants of the decay of its usage: its quota must
/// be full again after that time.
const IDLE_TIME_CONSTANTS: f64 = 3.0;
/// Retry-After of a request over its quota, in ms per second that the refill of the missing units takes: half
/// of that time.
const RETRY_AFTER_MS_PER_REFILL_SECOND: f64 = 500.0;
/// Shortest idle time after which a customer is forgotten, in ms.
const MIN_IDLE_MS: Millis = 1000.0;

impl Customer {
    /// Refills both levels up to now and returns the time since the last refill, in s.
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

    /// Returns the units left for a request that has just arrived. Both levels can only be too high: they
    /// don't include what was used at other gateways since the last total or gossip message.
    pub(super) fn available_units(&self, burst: f64, gossip_active: bool) -> f64 {
        let level = if gossip_active {
            self.gossip_level
        } else {
            self.quota.level.min(burst)
        };
        level - self.reserved_units
    }

    /// Returns the units left for a request that has waited for the counter.
    pub(super) fn available_units_after_wait(&self, gossip_active: bool) -> f64 {
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
            // that the charge also carried are dropped and never reach the shared count.
            ChargeResult::NotCounted => self.quota.add_unsettled_units(now, charge.units, limits),
            // If these units were charged again, they could count twice, and the customer would lose quota
            // that it hasn't used. If the counter has not counted them, they are missing from the shared
            // count.
            ChargeResult::MayHaveCounted => {}
        }
    }

    /// Returns the customer's attempts in flight at all gateways. This gateway's attempts in flight are
    /// counted, and so are its calls to the counter in flight, as a request that waits for one is about to be
    /// sent.
    ///
    /// Calls that only settle units or query the total count as well, and a request that is sent before its
    /// call has ended counts twice. The attempts of the peers are estimated by Little's law from their rate
    /// of usage, the mean units of a request and the duration of an attempt.
    pub(super) fn concurrent_attempts(&self, mean_units: f64, duration_ms: Millis) -> f64 {
        let at_peers = self.quota.peer_usage_rate / mean_units * duration_ms / 1000.0;
        f64::from(self.in_flight + self.pending_calls) + at_peers.round()
    }

    /// Subtracts units that were used at a peer, or adds a refund if negative, up to the burst. The level
    /// stays as it is if the units are above it. This also applies to a refund: at a level of -7, units of -5
    /// are ignored, while units of -8 are added.
    pub(super) fn record_peer_usage(&mut self, units: f64, burst: f64) {
        if self.gossip_level >= units {
            self.gossip_level = (self.gossip_level - units).min(burst);
        }
    }
}

/// Returns the time after which a client may retry a request of these units that is over its quota, in ms.
pub(super) fn retry_after_ms(plan: &Plan, units: f64, level: f64) -> Millis {
    let missing_units = units.min(plan.burst) - level;
    (missing_units / plan.rate * RETRY_AFTER_MS_PER_REFILL_SECOND).max(0.0)
}

/// Returns the idle time after which the quota and the ceiling of a customer of any plan are full again, in
/// ms.
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
