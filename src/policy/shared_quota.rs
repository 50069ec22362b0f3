//! The level of a customer's quota at one gateway, corrected by a shared counter.
//!
//! The gateway refills the level by the plan's rate, subtracts its own usage, and corrects the level by each
//! total that the shared counter returns.
//!
//! All gateways add their usage to one count for each customer and time window. The count is that of a leaky
//! bucket (`primitives::forward_decay`), whose capacity and rate together limit the customer to its quota.
//! The other gateways are called peers. Their usage is the increase of the total beyond this gateway's own
//! charge. Three rules cover what a total doesn't show:
//!
//! - Lost count: a counter that restarts loses what was added to it. `SharedQuota::apply_total` detects this
//!   by a total below what this gateway has added itself, and keeps the level.
//! - Extrapolation: while calls to the counter are rare, peers are assumed to continue at their previous rate
//!   for a limited time.
//! - Window change: what peers add at the end of a window, after this gateway's last total, is never returned
//!   to this gateway. Peers are assumed to have continued at their previous rate for a short time.

use crate::api::{Millis, Plan, Settings};
use crate::primitives::decay::remaining_share;
use crate::primitives::forward_decay::ForwardDecay;
use crate::primitives::window::Window;
use crate::state::{Charge, SharedQuota};

/// Capacity of the leaky bucket, in bursts. Usage decays by a factor of e in this multiple of burst divided
/// by rate.
const CAPACITY_BURSTS: f64 = 1.25;
/// Length of a window, in time constants of the decay.
const WINDOW_TIME_CONSTANTS: f64 = 20.0;
/// The shortest window, in ms.
const MIN_WINDOW_MS: Millis = 100.0;
/// The longest window, in ms: shorter than the longest life of a key at the counter, as a count would expire
/// before its window ends otherwise.
const MAX_WINDOW_MS: Millis = 50_000.0;
/// Longest life of a key that the counter allows, in ms.
const MAX_KEY_TTL_MS: Millis = 60_000.0;
/// A total below this share of what this gateway has added itself shows that the counter has lost its count.
const LOST_COUNT_SHARE: f64 = 0.99;
/// Time constant of the average rate of usage at the peers, in ms.
const PEER_RATE_AVERAGING_MS: Millis = 2000.0;
/// Shortest time between two totals over which usage at the peers is spread, in ms.
const MIN_TOTAL_INTERVAL_MS: Millis = 1.0;
/// Longest time after the last total for which the usage at the peers is extrapolated, in ms.
const MAX_EXTRAPOLATION_MS: Millis = 10_000.0;
/// Share of the burst by which the level may fall below 0, unless the largest request (`Settings::max_units`)
/// takes more units.
const MAX_DEFICIT_PER_BURST: f64 = 0.25;

/// The limits of a customer's quota, from its plan.
#[derive(Clone, Copy)]
pub(crate) struct QuotaLimits {
    /// Units per second.
    pub(crate) rate: f64,
    /// Units of the full quota.
    pub(crate) burst: f64,
    /// Units by which the level may fall below 0.
    pub(crate) max_deficit: f64,
}

impl QuotaLimits {
    pub(crate) fn new(settings: &Settings, plan: &Plan) -> Self {
        QuotaLimits {
            rate: plan.rate,
            burst: plan.burst,
            max_deficit: settings.max_units.max(plan.burst * MAX_DEFICIT_PER_BURST),
        }
    }

    /// Returns the decay of usage in the count.
    fn decay(self) -> ForwardDecay {
        ForwardDecay {
            rate: self.rate,
            capacity: CAPACITY_BURSTS * self.burst,
        }
    }

    fn window_length_ms(self) -> Millis {
        let length_ms = WINDOW_TIME_CONSTANTS * CAPACITY_BURSTS * self.burst / self.rate * 1000.0;
        length_ms.clamp(MIN_WINDOW_MS, MAX_WINDOW_MS)
    }
}

/// Returns the time constant with which a customer's usage decays in the count, in s; 0 without a quota.
pub(crate) fn time_constant_s(plan: &Plan) -> f64 {
    refill_time_s(plan.burst, plan.rate) * CAPACITY_BURSTS
}

/// Returns the time in which an empty quota or ceiling is full again, in s; 0 without a quota or ceiling.
pub(crate) fn refill_time_s(burst: f64, rate: f64) -> f64 {
    if rate > 0.0 {
        burst / rate
    } else {
        0.0
    }
}

/// Returns the time to live of the counter key of a charge, in ms: until the end of the charge's window, plus
/// a reserve.
pub(crate) fn key_ttl_ms(charge: &Charge) -> Millis {
    (charge.window_remaining_ms + MAX_KEY_TTL_MS - MAX_WINDOW_MS).min(MAX_KEY_TTL_MS)
}

/// Mode of a refill: the treatment of usage at the peers since the last total.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerUsage {
    /// Usage at the peers is ignored: the next total is due soon and shows it.
    AwaitTotal,
    /// Usage at the peers is assumed to continue at its previous rate for a limited time, as calls to the
    /// counter are rare. The next total corrects the assumption.
    Extrapolate,
}

/// A customer's usage at all gateways according to a total, in units decayed to the time of the reply.
struct CountedUsage {
    /// All usage, including the charge that the total was returned to.
    total: f64,
    /// The part of `total` that was added by the charge.
    charged: f64,
    /// All usage except that of the charged request.
    before_request: f64,
}

impl SharedQuota {
    /// Refills the level up to now and returns the time since the last refill, in s. The level may exceed the
    /// burst until the next total: the customer may have used units at the peers before this refill.
    pub(crate) fn refill(
        &mut self,
        now: Millis,
        limits: QuotaLimits,
        peer_usage: PeerUsage,
    ) -> f64 {
        let elapsed_s = (now - self.refilled_at).max(0.0) / 1000.0;
        self.level += elapsed_s * limits.rate;
        if peer_usage == PeerUsage::Extrapolate && self.usage_at_last_total.is_some() {
            self.extrapolate_peer_usage(now);
            self.level = self.level.min(limits.burst);
        }
        self.refilled_at = now;
        elapsed_s
    }

    /// Subtracts the assumed usage at the peers since the last refill, at their average rate.
    fn extrapolate_peer_usage(&mut self, now: Millis) {
        let until = now.min(self.last_total_at + MAX_EXTRAPOLATION_MS);
        let unobserved_s = (until - self.refilled_at.max(self.last_total_at)).max(0.0) / 1000.0;
        let extrapolated = unobserved_s * self.peer_usage_rate;
        self.level -= extrapolated;
        self.extrapolated_units += extrapolated;
    }

    /// Adds units to those that the next charge carries to the counter. Stored units decay like all usage.
    ///
    /// Under a plan with rate and burst 0 the stored units become NaN. Only a charge reads them, and a
    /// customer of such a plan is never charged, provided that each customer keeps to one plan.
    pub(crate) fn add_unsettled_units(&mut self, now: Millis, units: f64, limits: QuotaLimits) {
        let remaining = limits.decay().remaining_share(now - self.unsettled_at);
        self.unsettled_units = self.unsettled_units * remaining + units;
        self.unsettled_at = now;
    }

    /// Returns the addition to the counter for these units and the unsettled ones. The latter are no longer
    /// stored afterwards, so they are lost if the call fails.
    pub(crate) fn charge(&mut self, now: Millis, units: f64, limits: QuotaLimits) -> Charge {
        let decay = limits.decay();
        let window = self.window_at(now, limits);
        if self.window != window.number {
            self.enter_window(&window, limits);
        }
        let unsettled = self.unsettled_units * decay.remaining_share(now - self.unsettled_at);
        let weighted_units = (units + unsettled) * decay.remaining_share(window.remaining_ms);
        self.unsettled_units = 0.0;
        Charge {
            window: window.number,
            window_remaining_ms: window.remaining_ms,
            weighted_units,
            units,
        }
    }

    /// Starts to count in a new window. No total will show the usage at the peers after the last total of the
    /// old window: peers are assumed to have continued at their average rate, for `PEER_RATE_AVERAGING_MS` at
    /// most.
    fn enter_window(&mut self, window: &Window, limits: QuotaLimits) {
        let unobserved_ms = window.start - self.last_total_at;
        if let Some(usage_at_last_total) = self.usage_at_last_total {
            let extrapolated_ms = unobserved_ms.clamp(0.0, PEER_RATE_AVERAGING_MS);
            let peer_units = self.peer_usage_rate * extrapolated_ms / 1000.0;
            let usage =
                usage_at_last_total * limits.decay().remaining_share(unobserved_ms) + peer_units;
            self.level -= peer_units;
            self.usage_at_last_total = Some(usage);
            self.usage_before_window = usage;
            self.last_total_at = window.start;
        }
        self.window = window.number;
        self.own_count = 0.0;
    }

    /// Corrects the level by the total that the counter returned to a charge. Returns false, without a
    /// correction, for a total of an earlier window, which shows nothing about usage in the current one.
    pub(crate) fn apply_total(
        &mut self,
        now: Millis,
        charge: Charge,
        total: f64,
        limits: QuotaLimits,
    ) -> bool {
        let window = self.window_at(now, limits);
        if window.number != charge.window {
            return false;
        }
        let usage = self.counted_usage(now, &window, charge, total, limits);
        self.own_count += charge.weighted_units;
        match self.usage_at_last_total {
            None => self.level = level_by_count(&usage, limits),
            // The counter has lost its count. Later totals are compared to this one, so nothing has to be
            // added again and the level stays as it is.
            Some(_) if total < self.own_count * LOST_COUNT_SHARE => {
                self.own_count = charge.weighted_units;
            }
            Some(usage_at_last_total) => {
                self.correct_level(now, usage_at_last_total, &usage, limits);
            }
        }
        self.level = self.level.max(-limits.max_deficit);
        self.level = self.level.min(limits.burst);
        self.usage_at_last_total = Some(usage.total);
        self.last_total_at = now;
        true
    }

    /// Returns the usage according to a total, in this window and in earlier ones.
    fn counted_usage(
        &self,
        now: Millis,
        window: &Window,
        charge: Charge,
        total: f64,
        limits: QuotaLimits,
    ) -> CountedUsage {
        let decay = limits.decay();
        let since_start_ms = now - window.start;
        // The weight in the count of units that are used now.
        let weight = decay.remaining_share(limits.window_length_ms() - since_start_ms);
        let usage =
            total / weight + self.usage_before_window * decay.remaining_share(since_start_ms);
        CountedUsage {
            total: usage,
            charged: charge.weighted_units / weight,
            before_request: usage - charge.units,
        }
    }

    /// Subtracts the usage at the peers since the last total, as if it had been spread evenly over that time.
    /// With more time since the last total, less is known of that usage, and the level follows the count more
    /// closely.
    fn correct_level(
        &mut self,
        now: Millis,
        usage_at_last_total: f64,
        usage: &CountedUsage,
        limits: QuotaLimits,
    ) {
        let decay = limits.decay();
        // Two totals may arrive at the same time, and a rate over a time of 0 would be NaN.
        let elapsed_ms = (now - self.last_total_at).max(MIN_TOTAL_INTERVAL_MS);
        let remaining = decay.remaining_share(elapsed_ms);
        let added = usage.total - usage_at_last_total * remaining - usage.charged;
        let peer_units = decay.evenly_spread_usage(added, elapsed_ms, remaining);
        self.level += std::mem::take(&mut self.extrapolated_units) - peer_units;
        // At least as many units are left as if all usage that still counts had been taken from a full quota.
        let min_level = limits.burst - usage.before_request;
        // With more time since the last total, less is known of the times at which its difference was used,
        // and the level follows the count more closely. The square keeps the weight of the count small for
        // short times, for which evenly spread usage is a good assumption.
        let count_weight = (1.0 - remaining).powi(2);
        self.level = (1.0 - count_weight) * self.level.max(min_level)
            + count_weight * level_by_count(usage, limits);
        self.update_peer_rate(peer_units, elapsed_ms);
    }

    /// Updates the average rate of usage at the peers (EWMA over time).
    fn update_peer_rate(&mut self, peer_units: f64, elapsed_ms: Millis) {
        let remaining = remaining_share(elapsed_ms, PEER_RATE_AVERAGING_MS);
        let rate = peer_units.max(0.0) * 1000.0 / elapsed_ms;
        self.peer_usage_rate = self.peer_usage_rate * remaining + rate * (1.0 - remaining);
    }

    fn window_at(&self, now: Millis, limits: QuotaLimits) -> Window {
        Window::at(now, self.customer, limits.window_length_ms())
    }
}

/// Returns the level according to the count alone, before the charged request.
fn level_by_count(usage: &CountedUsage, limits: QuotaLimits) -> f64 {
    limits.decay().capacity - usage.before_request
}

#[cfg(test)]
mod tests;
