//! When to retry: exponential backoff for a caller on its own, and a schedule for calls to a service that all gateways
//! share.

use std::time::Duration;

#[cfg(test)]
mod tests;

/// Exponential backoff with jitter.
pub struct Backoff {
    rng: fastrand::Rng,
    initial: Duration,
    max: Duration,
    /// Upper bound of the next delay.
    next_max: Duration,
}

impl Backoff {
    /// Random delays of at least half of `initial`. The longest is `initial` at first, and doubles with each failure up to
    /// `max`.
    pub fn new(initial: Duration, max: Duration, seed: u64) -> Self {
        Backoff {
            rng: fastrand::Rng::with_seed(seed),
            initial,
            max,
            next_max: initial,
        }
    }

    /// Delay before the next attempt, after one more failure.
    #[must_use]
    pub fn next_delay(&mut self) -> Duration {
        let shortest = self.initial / 2;
        let delay = shortest
            + self
                .next_max
                .saturating_sub(shortest)
                .mul_f64(self.rng.f64());
        self.next_max = (self.next_max * 2).min(self.max);
        delay
    }

    /// An attempt has succeeded.
    pub fn reset(&mut self) {
        self.next_max = self.initial;
    }
}

/// Time between two attempts of one gateway, for each gateway of the fleet. An outage has all gateways call. Up to the
/// longest interval, the service gets ten calls a second from all of them together.
const INTERVAL_PER_GATEWAY: Duration = Duration::from_millis(100);
/// Shortest time between two attempts of one gateway.
const MIN_INTERVAL: Duration = Duration::from_millis(200);

/// Least time that an unanswered call runs before another is started beside it, as a share of the longest interval.
const MIN_UNANSWERED_SHARE: f64 = 0.25;

/// Spaces one gateway's attempts at a service that all gateways share, until one succeeds. The first interval is random,
/// so that gateways that failed together do not retry together. All later ones are the same for every gateway: they
/// keep the gateways apart, and none waits longer than the others.
pub struct CallSchedule {
    rng: fastrand::Rng,
    interval: Duration,
    max_interval: Duration,
    /// The first, random interval has been used, by a failure or by a second call beside an unanswered one.
    has_jittered: bool,
}

impl CallSchedule {
    /// The schedule of one of this many gateways. The seed has to differ between them.
    pub fn new(gateway_count: u32, max_interval: Duration, seed: u64) -> Self {
        let min_interval = MIN_INTERVAL.min(max_interval);
        let interval = (INTERVAL_PER_GATEWAY * gateway_count).clamp(min_interval, max_interval);
        CallSchedule {
            rng: fastrand::Rng::with_seed(seed),
            interval,
            max_interval,
            has_jittered: false,
        }
    }

    /// Time from the failure of an attempt that took this long to the next attempt.
    #[must_use]
    pub fn delay_after_failure(&mut self, took: Duration) -> Duration {
        let fraction = self.fraction();
        self.has_jittered = true;
        self.interval.saturating_sub(took).mul_f64(fraction)
    }

    /// Time from the start of an attempt to the start of another one beside it, if there is no response; `only_one` if no
    /// other attempt is in flight.
    ///
    /// The interval is random while the call is the only one and none has failed. A second call in flight uses up the
    /// random first interval, as a failure does: from then on the interval is the longest, until an attempt succeeds.
    #[must_use]
    pub fn unanswered_interval(&mut self, only_one: bool) -> Duration {
        if !only_one {
            self.has_jittered = true;
        }
        let fraction = self.fraction();
        self.max_interval
            .mul_f64(MIN_UNANSWERED_SHARE + (1.0 - MIN_UNANSWERED_SHARE) * fraction)
    }

    /// An attempt has succeeded. The next interval is random again, as all gateways may see the next failure together.
    pub fn reset(&mut self) {
        self.has_jittered = false;
    }

    /// Share of the interval to wait.
    fn fraction(&mut self) -> f64 {
        if self.has_jittered {
            1.0
        } else {
            self.rng.f64()
        }
    }
}
