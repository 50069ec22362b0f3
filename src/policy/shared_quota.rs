//! How a gateway knows what is left of a customer's quota: it refills the level by the plan's rate,
//! subtracts its own usage, and corrects the level by each total that the shared counter returns.
//!
//! All gateways add their usage to one count for each customer and window of time. The count is that of a
//! leaky bucket (`primitives::forward_decay`); its capacity and rate together limit the customer to its
//! quota. What the total has risen by beyond this gateway's own charge was used at the other gateways, its
//! peers. Three rules cover what a total doesn't show:
//!
//! - Lost count: a counter that restarts loses what was added to it. `SharedQuota::apply_total` sees that
//!   by a total below what this gateway added itself, and keeps the level.
//! - Extrapolation: while calls to the counter are few, peers are assumed to continue as before for a while.
//! - Window change: what peers added at the end of a window is never returned to this gateway. They are
//!   assumed to have continued as before for a moment.

use crate::api::{Millis, Plan, Settings};
use crate::primitives::decay::remaining_share;
use crate::primitives::forward_decay::ForwardDecay;
use crate::primitives::window::Window;
use crate::state::{Charge, SharedQuota};

/// Capacity of the leaky bucket, in bursts. Usage decays by a factor of e in this multiple of burst over
/// rate.
const CAPACITY_BURSTS: f64 = 1.25;
/// Length of a window, in time constants of the decay.
const WINDOW_TIME_CONSTANTS: f64 = 20.0;
/// The shortest window, in ms.
const MIN_WINDOW_MS: Millis = 100.0;
/// The longest window, in ms. Less than the longest life of a key at the counter, or a count would expire
/// before its window ends.
const MAX_WINDOW_MS: Millis = 50_000.0;
/// Longest life of a key that the counter allows, in ms.
const MAX_KEY_TTL_MS: Millis = 60_000.0;
/// A total below this share of what this gateway added itself shows that the counter lost its count.
const LOST_COUNT_SHARE: f64 = 0.99;
/// Time constant over which the usage at the peers is averaged, in ms.
const PEER_RATE_AVERAGING_MS: Millis = 2000.0;
/// Shortest time between two totals that a usage at the peers is spread over, in ms.
const MIN_TOTAL_INTERVAL_MS: Millis = 1.0;
/// Longest time after the last total for which the usage at the peers is extrapolated, in ms.
const MAX_EXTRAPOLATION_MS: Millis = 10_000.0;
/// The level falls below 0 by the units of one request, or by this share of the burst.
const MAX_DEFICIT_PER_BURST: f64 = 0.25;

/// The size of a customer's quota, from its plan.
#[derive(Clone, Copy)]
pub(crate) struct QuotaLimits {
    /// Units per second.
    pub(crate) rate: f64,
    /// Units of the full quota.
    pub(crate) burst: f64,
    /// How far the level may fall below 0, in units.
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

    /// How usage decays from the count.
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

/// Time constant with which the usage of a customer decays from the count, in s; 0 without a quota.
pub(crate) fn time_constant_s(plan: &Plan) -> f64 {
    refill_time_s(plan.burst, plan.rate) * CAPACITY_BURSTS
}

/// Time in which an empty quota or ceiling is full again, in s; 0 where there is none.
pub(crate) fn refill_time_s(burst: f64, rate: f64) -> f64 {
    if rate > 0.0 {
        burst / rate
    } else {
        0.0
    }
}

/// Life of the key of a charge at the counter, in ms: until its window has ended, with some reserve.
pub(crate) fn key_ttl_ms(charge: &Charge) -> Millis {
    (charge.window_remaining_ms + MAX_KEY_TTL_MS - MAX_WINDOW_MS).min(MAX_KEY_TTL_MS)
}

/// How a refill treats the usage at the other gateways since the last total.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerUsage {
    /// Left out: the next total is due soon and shows it.
    AwaitTotal,
    /// Assumed to continue as before for a while, as calls to the counter are few. The next total corrects
    /// it.
    Extrapolate,
}

/// What a total says of a customer's usage at all gateways at the time of the reply, in units decayed to
/// then.
struct CountedUsage {
    /// All usage, the charge that was replied to included.
    total: f64,
    /// The part of it that the charge added.
    charged: f64,
    /// All usage without the request that was charged.
    before_request: f64,
}

impl SharedQuota {
    /// Refills the level up to now and returns the time since the last refill, in s. The level may pass the
    /// burst until the next total is known: usage in the gap may have been earlier than the refill.
    pub(crate) fn refill(
        &mut self,
        now: Millis,
        limits: QuotaLimits,
        peer_usage: PeerUsage,
    ) -> f64 {
        let elapsed_s = (now - self.refilled_at).max(0.0) / 1000.0;
        self.level += elapsed_s * limits.rate;
        if peer_usage == PeerUsage::Extrapolate && self.last_usage.is_some() {
            self.extrapolate_peer_usage(now);
            self.level = self.level.min(limits.burst);
        }
        self.refilled_at = now;
        elapsed_s
    }

    /// Subtracts what the peers are assumed to have used since the last refill: as much per second as before.
    fn extrapolate_peer_usage(&mut self, now: Millis) {
        let until = now.min(self.last_total_at + MAX_EXTRAPOLATION_MS);
        let unseen_s = (until - self.refilled_at.max(self.last_total_at)).max(0.0) / 1000.0;
        let extrapolated = unseen_s * self.peer_rate;
        self.level -= extrapolated;
        self.extrapolated_units += extrapolated;
    }

    /// Adds units to what the next charge carries to the counter; they decay like any usage.
    ///
    /// Under a plan with rate and burst 0 the stored units become NaN. Only a charge reads them, and such a
    /// plan is never charged; a customer is expected to have one plan.
    pub(crate) fn settle_later(&mut self, now: Millis, units: f64, limits: QuotaLimits) {
        let remaining = limits.decay().remaining_share(now - self.unsettled_at);
        self.unsettled_units = self.unsettled_units * remaining + units;
        self.unsettled_at = now;
    }

    /// The addition to the counter for these units and those not settled yet. The latter are no longer
    /// stored then: they are lost if the call fails.
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
    /// old one: they are assumed to have continued as before, for `PEER_RATE_AVERAGING_MS` at most.
    fn enter_window(&mut self, window: &Window, limits: QuotaLimits) {
        let unseen_ms = window.start - self.last_total_at;
        if let Some(last_usage) = self.last_usage {
            let extrapolated_ms = unseen_ms.clamp(0.0, PEER_RATE_AVERAGING_MS);
            let peer_units = self.peer_rate * extrapolated_ms / 1000.0;
            let usage = last_usage * limits.decay().remaining_share(unseen_ms) + peer_units;
            self.level -= peer_units;
            self.last_usage = Some(usage);
            self.usage_before_window = usage;
            self.last_total_at = window.start;
        }
        self.window = window.number;
        self.own_count = 0.0;
    }

    /// Corrects the level by the total that the counter returned to a charge. Returns whether it did: a total
    /// of an earlier window shows nothing of the usage in this one.
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
        match self.last_usage {
            None => self.level = level_by_count(&usage, limits),
            // The counter has lost its count. Later totals are compared to this one, so that nothing has to
            // be added again and the level stays as it is.
            Some(_) if total < self.own_count * LOST_COUNT_SHARE => {
                self.own_count = charge.weighted_units;
            }
            Some(last_usage) => self.correct_level(now, last_usage, &usage, limits),
        }
        self.level = self.level.max(-limits.max_deficit);
        self.level = self.level.min(limits.burst);
        self.last_usage = Some(usage.total);
        self.last_total_at = now;
        true
    }

    /// The usage that a total shows, in this window and before it.
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
        // The weight of a usage of now in the count.
        let weight = decay.remaining_share(limits.window_length_ms() - since_start_ms);
        let usage =
            total / weight + self.usage_before_window * decay.remaining_share(since_start_ms);
        CountedUsage {
            total: usage,
            charged: charge.weighted_units / weight,
            before_request: usage - charge.units,
        }
    }

    /// Subtracts what was used at the peers since the last total, as if it was spread evenly over the time
    /// since then. The longer that is, the less is known of it, and the more the level follows the count
    /// alone.
    fn correct_level(
        &mut self,
        now: Millis,
        last_usage: f64,
        usage: &CountedUsage,
        limits: QuotaLimits,
    ) {
        let decay = limits.decay();
        // Two totals may come at the same time, and a rate over no time would be NaN.
        let elapsed_ms = (now - self.last_total_at).max(MIN_TOTAL_INTERVAL_MS);
        let remaining = decay.remaining_share(elapsed_ms);
        let added = usage.total - last_usage * remaining - usage.charged;
        let peer_units = decay.evenly_spread_usage(added, elapsed_ms, remaining);
        self.level += std::mem::take(&mut self.extrapolated_units) - peer_units;
        // At least as much is left as if all usage that still counts had been taken from a full quota.
        let min_level = limits.burst - usage.before_request;
        // The longer ago the last total, the less is known of when its difference was used, and the more
        // the level follows the count alone. The square keeps that weight small for short times, in which
        // usage that is spread evenly is a good assumption.
        let count_weight = (1.0 - remaining).powi(2);
        self.level = (1.0 - count_weight) * self.level.max(min_level)
            + count_weight * level_by_count(usage, limits);
        self.update_peer_rate(peer_units, elapsed_ms);
    }

    /// Averages the rate of usage at the peers (EWMA over time).
    fn update_peer_rate(&mut self, peer_units: f64, elapsed_ms: Millis) {
        let remaining = remaining_share(elapsed_ms, PEER_RATE_AVERAGING_MS);
        let rate = peer_units.max(0.0) * 1000.0 / elapsed_ms;
        self.peer_rate = self.peer_rate * remaining + rate * (1.0 - remaining);
    }

    fn window_at(&self, now: Millis, limits: QuotaLimits) -> Window {
        Window::at(now, self.customer, limits.window_length_ms())
    }
}

/// The level by the count alone, before the request that was charged.
fn level_by_count(usage: &CountedUsage, limits: QuotaLimits) -> f64 {
    limits.decay().capacity - usage.before_request
}

#[cfg(test)]
mod tests;
