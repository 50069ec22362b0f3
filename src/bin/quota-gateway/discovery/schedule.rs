//! When to retry: exponential backoff for a caller whose retries disturb nobody else, and a cadence for calls to a
//! service that all gateways share.

use std::time::Duration;

#[cfg(test)]
mod tests;

/// Exponential backoff with jitter.
pub struct Backoff {
    rng: fastrand::Rng,
    initial: Duration,
    max: Duration,
    /// Longest pause that may be drawn next.
    ceiling: Duration,
}

impl Backoff {
    /// Pauses of at least half of `initial`; the longest doubles with each failure up to `max`.
    pub fn new(initial: Duration, max: Duration, seed: u64) -> Self {
        Backoff {
            rng: fastrand::Rng::with_seed(seed),
            initial,
            max,
            ceiling: initial,
        }
    }

    /// The pause before the next attempt after one more failure.
    #[must_use]
    pub fn next_pause(&mut self) -> Duration {
        let shortest = self.initial / 2;
        let pause = shortest
            + self
                .ceiling
                .saturating_sub(shortest)
                .mul_f64(self.rng.f64());
        self.ceiling = (self.ceiling * 2).min(self.max);
        pause
    }

    /// An attempt has succeeded.
    pub fn reset(&mut self) {
        self.ceiling = self.initial;
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
pub struct Cadence {
    rng: fastrand::Rng,
    interval: Duration,
    max_interval: Duration,
    /// The random interval has passed.
    dispersed: bool,
}

impl Cadence {
    /// For one of this number of gateways; the seed sets it apart from the others.
    pub fn new(gateway_count: u32, max_interval: Duration, seed: u64) -> Self {
        let min_interval = MIN_INTERVAL.min(max_interval);
        let interval = (INTERVAL_PER_GATEWAY * gateway_count).clamp(min_interval, max_interval);
        Cadence {
            rng: fastrand::Rng::with_seed(seed),
            interval,
            max_interval,
            dispersed: false,
        }
    }

    /// From the failure of an attempt that took this long to the next attempt.
    #[must_use]
    pub fn pause_after_failure(&mut self, took: Duration) -> Duration {
        let fraction = self.fraction();
        self.dispersed = true;
        self.interval.saturating_sub(took).mul_f64(fraction)
    }

    /// From the start of an attempt to the start of another one beside it, if there is no response; `only_one` if no
    /// other attempt is in flight.
    #[must_use]
    pub fn unanswered_interval(&mut self, only_one: bool) -> Duration {
        if !only_one {
            self.dispersed = true;
        }
        let fraction = self.fraction();
        self.max_interval
            .mul_f64(MIN_UNANSWERED_SHARE + (1.0 - MIN_UNANSWERED_SHARE) * fraction)
    }

    /// An attempt has succeeded: all gateways may see the next failure at the same time.
    pub fn reset(&mut self) {
        self.dispersed = false;
    }

    /// The part of the interval to wait.
    fn fraction(&mut self) -> f64 {
        if self.dispersed {
            1.0
        } else {
            self.rng.f64()
        }
    }
}
