//! A token bucket that several parties draw on by means of a shared counter that can only add.
//!
//! The counter collects the usage of all parties, window by window. A usage decays from the count like the
//! level of a leaky bucket; as the counter can only add, later usage is added with a larger weight in place
//! of decaying the earlier. From the totals and its own usage each party rebuilds the level of the bucket.

use super::window::Window;

/// How the level is rebuilt. Times are in ms.
pub(crate) struct SharedBucketParameters {
    /// A usage decays by a factor e in this multiple of burst over rate, and the same multiple of the burst
    /// is the limit of the count: together they limit a user to its rate.
    pub(crate) decay_bursts: f64,
    /// Length of a window, in decay times.
    pub(crate) window_decays: f64,
    pub(crate) min_window_ms: f64,
    pub(crate) max_window_ms: f64,
    /// A total below this share of what this party added itself shows that the counter lost its count.
    pub(crate) lost_count_share: f64,
    /// Time over which the usage by the other parties is averaged.
    pub(crate) remote_rate_ms: f64,
    /// For this long after the last total the other parties can be projected to use as much as before.
    pub(crate) projection_ms: f64,
}

/// The size of one bucket.
#[derive(Clone, Copy)]
pub(crate) struct BucketLimits {
    /// Tokens per second.
    pub(crate) rate: f64,
    pub(crate) burst: f64,
    /// How far the level may fall below 0.
    pub(crate) max_deficit: f64,
}

/// How a refill treats the usage by the other parties since the last total.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RemoteUsage {
    /// It is not known before the next total, which comes soon.
    Ignored,
    /// Calls to the counter are few: it is assumed to go on as before for a while. The next total corrects it.
    Projected,
}

/// An addition to the counter.
#[derive(Clone, Copy)]
pub(crate) struct Charge {
    /// The number of the window in which it is counted.
    pub(crate) window: u64,
    /// Time until that window ends.
    pub(crate) remaining_ms: f64,
    /// What to add.
    pub(crate) amount: f64,
    /// The tokens that were asked for.
    pub(crate) tokens: f64,
}

/// One party's view of the bucket. Times are in ms.
pub(crate) struct SharedBucket {
    parameters: &'static SharedBucketParameters,
    /// Tells the windows of one bucket from those of others.
    key: u64,
    level: f64,
    refilled_at: f64,
    /// Usage, or refunds if negative, that the next charge carries to the counter.
    unsettled: f64,
    unsettled_at: f64,
    /// The number of the window in which usage is counted now.
    window: u64,
    /// The last total, decayed to `last_total_at`; none before the first one.
    last_total: Option<f64>,
    last_total_at: f64,
    /// What this party has added in this window.
    local_contribution: f64,
    /// The total of the former window at the time when this one began.
    carried_over: f64,
    /// Usage by the other parties, per second.
    remote_rate: f64,
    /// Usage by the other parties that was projected since the last total.
    projected: f64,
}

impl SharedBucket {
    /// A full bucket that was not counted before.
    pub(crate) fn new(
        parameters: &'static SharedBucketParameters,
        key: u64,
        now: f64,
        burst: f64,
    ) -> Self {
        SharedBucket {
            parameters,
            key,
            level: burst,
            refilled_at: now,
            unsettled: 0.0,
            unsettled_at: 0.0,
            window: 0,
            last_total: None,
            last_total_at: now,
            local_contribution: 0.0,
            carried_over: 0.0,
            remote_rate: 0.0,
            projected: 0.0,
        }
    }

    /// The level as of the last refill. It may be above the burst until the next total.
    pub(crate) fn level(&self) -> f64 {
        self.level
    }

    /// Usage by the other parties, per second.
    pub(crate) fn remote_rate(&self) -> f64 {
        self.remote_rate
    }

    /// This party has used tokens, or was refunded if negative.
    pub(crate) fn take(&mut self, tokens: f64) {
        self.level -= tokens;
    }

    /// Adds the tokens that came in since the last refill; that time in seconds. The level is not capped
    /// before the next total is known: usage in the gap may have come before the refill.
    pub(crate) fn refill(
        &mut self,
        now: f64,
        limits: BucketLimits,
        remote_usage: RemoteUsage,
    ) -> f64 {
        let elapsed_s = (now - self.refilled_at).max(0.0) / 1000.0;
        self.level += elapsed_s * limits.rate;
        if remote_usage == RemoteUsage::Projected && self.last_total.is_some() {
            self.project_remote_usage(now);
            self.level = self.level.min(limits.burst);
        }
        self.refilled_at = now;
        elapsed_s
    }

    /// Subtracts what the other parties are taken to have used since the last refill: as much as before.
    fn project_remote_usage(&mut self, now: f64) {
        let until = now.min(self.last_total_at + self.parameters.projection_ms);
        let unseen_s = (until - self.refilled_at.max(self.last_total_at)).max(0.0) / 1000.0;
        let projected = unseen_s * self.remote_rate;
        self.level -= projected;
        self.projected += projected;
    }

    /// Adds to what the next charge carries to the counter; it decays like any usage.
    pub(crate) fn settle_later(&mut self, now: f64, tokens: f64, limits: BucketLimits) {
        let kept = self.remaining_share(now - self.unsettled_at, limits);
        self.unsettled = self.unsettled * kept + tokens;
        self.unsettled_at = now;
    }

    /// The addition to the counter for these tokens and those not settled yet.
    pub(crate) fn charge(&mut self, now: f64, tokens: f64, limits: BucketLimits) -> Charge {
        let window = self.window_at(now, limits);
        if self.window != window.number {
            self.enter_window(&window, limits);
        }
        let unsettled = self.unsettled * self.remaining_share(now - self.unsettled_at, limits);
        let amount = (tokens + unsettled) * self.remaining_share(window.remaining_ms, limits);
        self.unsettled = 0.0;
        Charge {
            window: window.number,
            remaining_ms: window.remaining_ms,
            amount,
            tokens,
        }
    }

    /// Starts to count in a new window. Usage at the end of the old one went unseen: the other parties are
    /// taken to have used as much as before.
    fn enter_window(&mut self, window: &Window, limits: BucketLimits) {
        let unseen_ms = window.start - self.last_total_at;
        if let Some(last_total) = self.last_total {
            let projected_ms = unseen_ms.clamp(0.0, self.parameters.remote_rate_ms);
            let remote_usage = self.remote_rate * projected_ms / 1000.0;
            let total = last_total * self.remaining_share(unseen_ms, limits) + remote_usage;
            self.level -= remote_usage;
            self.last_total = Some(total);
            self.carried_over = total;
            self.last_total_at = window.start;
        }
        self.window = window.number;
        self.local_contribution = 0.0;
    }

    /// Rebuilds the level from the total after a charge: what it rose by beyond the charge, the other parties
    /// used. Whether the charge was in the present window; the totals of earlier ones tell nothing.
    pub(crate) fn apply_total(
        &mut self,
        now: f64,
        charge: Charge,
        total: f64,
        limits: BucketLimits,
    ) -> bool {
        let window = self.window_at(now, limits);
        if window.number != charge.window {
            return false;
        }
        let since_start_ms = now - window.start;
        // The weight of a usage of now in the count.
        let weight = self.remaining_share(self.window_length_ms(limits) - since_start_ms, limits);
        let usage =
            total / weight + self.carried_over * self.remaining_share(since_start_ms, limits);
        self.local_contribution += charge.amount;
        // The level as the count alone tells it to a party that has not called for long.
        let level_by_count = limits.burst * self.parameters.decay_bursts - (usage - charge.tokens);
        match self.last_total {
            None => self.level = level_by_count,
            // Only rises of the total are read, so nothing needs to be put back.
            Some(_) if total < self.local_contribution * self.parameters.lost_count_share => {
                self.local_contribution = charge.amount;
            }
            Some(last_total) => {
                let elapsed_ms = (now - self.last_total_at).max(1.0);
                let kept = self.remaining_share(elapsed_ms, limits);
                let added = usage - last_total * kept - charge.amount / weight;
                // Spread evenly since the last total.
                let remote_usage = added * (1.0 - kept).recip() * elapsed_ms * limits.rate
                    / (self.parameters.decay_bursts * limits.burst * 1000.0);
                self.level += std::mem::take(&mut self.projected) - remote_usage;
                // The longer ago the last total, the more the count alone tells.
                let least_level = limits.burst - (usage - charge.tokens);
                let count_weight = (1.0 - kept).powi(2);
                self.level = (1.0 - count_weight) * self.level.max(least_level)
                    + count_weight * level_by_count;
                self.update_remote_rate(remote_usage, elapsed_ms);
            }
        }
        self.level = self.level.max(-limits.max_deficit);
        self.level = self.level.min(limits.burst);
        self.last_total = Some(usage);
        self.last_total_at = now;
        true
    }

    fn update_remote_rate(&mut self, remote_usage: f64, elapsed_ms: f64) {
        let kept = (-elapsed_ms / self.parameters.remote_rate_ms).exp();
        let rate = remote_usage.max(0.0) * 1000.0 / elapsed_ms;
        self.remote_rate = self.remote_rate * kept + rate * (1.0 - kept);
    }

    /// The share of a usage that still counts after `elapsed_ms`.
    fn remaining_share(&self, elapsed_ms: f64, limits: BucketLimits) -> f64 {
        (-elapsed_ms.max(0.0) * limits.rate
            / (self.parameters.decay_bursts * limits.burst * 1000.0))
            .exp()
    }

    fn window_length_ms(&self, limits: BucketLimits) -> f64 {
        let parameters = self.parameters;
        let length_ms = parameters.window_decays * parameters.decay_bursts * limits.burst
            / limits.rate
            * 1000.0;
        length_ms.clamp(parameters.min_window_ms, parameters.max_window_ms)
    }

    fn window_at(&self, now: f64, limits: BucketLimits) -> Window {
        Window::at(now, self.key, self.window_length_ms(limits))
    }
}

#[cfg(test)]
pub(crate) mod tests;
