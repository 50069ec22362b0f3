//! A customer's levels between two events: their refill, and when they must be full again.

use crate::api::{Millis, Plan, Settings};
use crate::policy::shared_quota::{refill_time_s, time_constant_s, PeerUsage, QuotaLimits};
use crate::state::Customer;

/// A customer is forgotten once it was idle for this many time constants in which its usage decays: its quota
/// must be full again.
const IDLE_TIME_CONSTANTS: f64 = 3.0;
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

    /// Attempts in flight at all gateways. Those of this one are counted; those of its peers are estimated by
    /// Little's law from their rate of usage, the mean units of a request and the duration of an attempt.
    pub(super) fn concurrent_attempts(&self, mean_units: f64, duration_ms: Millis) -> f64 {
        let at_peers = self.quota.peer_rate / mean_units * duration_ms / 1000.0;
        f64::from(self.in_flight + self.pending_calls) + at_peers.round()
    }

    /// Subtracts units that were used at a peer, or adds them if negative. Usage that the level doesn't cover
    /// is left out.
    pub(super) fn record_peer_usage(&mut self, units: f64, burst: f64) {
        if self.gossip_level >= units {
            self.gossip_level = (self.gossip_level - units).min(burst);
        }
    }
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
