//! When to retry: exponential backoff for a caller whose retries disturb nobody else, and a schedule for calls to a
//! service that all gateways share.

use std::time::Duration;

#[cfg(test)]
mod tests;

/// Exponential backoff with jitter.
pub struct Backoff {
    rng: fastrand::Rng,
    initial: Duration,
    max: Duration,
    /// Longest delay that may be drawn next.
    next_max: Duration,
}

impl Backoff {
    /// Pauses of at least half of `initial`; the longest doubles with each failure up to `max`.
    pub fn new(initial: Duration, max: Duration, seed: u64) -> Self {
        Backoff {
            rng: fastrand::Rng::with_seed(seed),
            initial,
            max,
            next_max: initial,
        }
    }

    /// The delay before the next attempt after one more failure.
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

/// Time between two attempts of one gateway, for each gateway in the fleet: what makes one gateway call makes all of
/// them call, and discovery serves eight or nine complete lists per second on a large fleet.
const INTERVAL_PER_GATEWAY: Duration = Duration::from_millis(100);
/// The interval is never shorter than this: a few gateways alone do no harm.
const MIN_INTERVAL: Duration = Duration::from_millis(200);

/// An unanswered call runs for at least this share of the longest interval before another is started beside it.
const MIN_UNANSWERED_SHARE: f64 = 0.25;

/// Spaces one caller's attempts at a service that all gateways share, until one succeeds. The first interval is
/// random, so that callers that failed together do not come back together. All later ones are the same for every
/// caller, which keeps the callers as far apart as they are and makes none wait longer than the others.
pub struct CallSchedule {
    rng: fastrand::Rng,
    interval: Duration,
    max_interval: Duration,
    /// The random interval has passed.
    has_jittered: bool,
}

impl CallSchedule {
    /// For one of this number of gateways; the seed sets it apart from the others.
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

    /// From the failure of an attempt that took this long to the next attempt.
    #[must_use]
    pub fn delay_after_failure(&mut self, took: Duration) -> Duration {
        let fraction = self.fraction();
        self.has_jittered = true;
        self.interval.saturating_sub(took).mul_f64(fraction)
    }

    /// From the start of an attempt to the start of another one beside it, if there is no response; `only_one` if no
    /// other attempt is in flight.
    #[must_use]
    pub fn unanswered_interval(&mut self, only_one: bool) -> Duration {
        if !only_one {
            self.has_jittered = true;
        }
        let fraction = self.fraction();
        self.max_interval
            .mul_f64(MIN_UNANSWERED_SHARE + (1.0 - MIN_UNANSWERED_SHARE) * fraction)
    }

    /// An attempt has succeeded: all gateways may see the next failure at the same time.
    pub fn reset(&mut self) {
        self.has_jittered = false;
    }

    /// The part of the interval to wait.
    fn fraction(&mut self) -> f64 {
        if self.has_jittered {
            1.0
        } else {
            self.rng.f64()
        }
    }
}
