//! Retry times: exponential backoff with jitter for a single caller, and a schedule for calls to a service that all
//! gateways share.

use std::time::Duration;

#[cfg(test)]
mod tests;

/// Exponential backoff with jitter.
pub struct Backoff {
    rng: fastrand::Rng,
    initial: Duration,
    max: Duration,
    /// Upper bound of the next random delay.
    next_max: Duration,
}

impl Backoff {
    /// Creates a backoff whose delays are random and at least half of `initial`. Their upper bound is `initial` at
    /// first and doubles with each failure, up to `max`.
    pub fn new(initial: Duration, max: Duration, seed: u64) -> Self {
        Backoff {
            rng: fastrand::Rng::with_seed(seed),
            initial,
            max,
            next_max: initial,
        }
    }

    /// Records a failure and returns the delay before the next attempt.
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

    /// Restores the initial delay after a success.
    pub fn reset(&mut self) {
        self.next_max = self.initial;
    }
}

/// Time between two attempts of one gateway per gateway of the fleet. During an outage all gateways retry; as long as
/// the interval is below its maximum, the service receives ten calls per second from the whole fleet.
const INTERVAL_PER_GATEWAY: Duration = Duration::from_millis(100);
/// Minimum time between two attempts of one gateway.
const MIN_INTERVAL: Duration = Duration::from_millis(200);

/// Minimum time between the start of an unanswered call and that of the next, as a share of the maximum interval.
const MIN_UNANSWERED_SHARE: f64 = 0.25;

/// Spaces one gateway's attempts to call a service that all gateways share, until one succeeds. The first interval is
/// random, so that gateways that failed at the same time do not retry at the same time. All later intervals are equal
/// for every gateway: they preserve the spacing between gateways, and no gateway waits longer than the others.
pub struct CallSchedule {
    rng: fastrand::Rng,
    interval: Duration,
    max_interval: Duration,
    /// True once the first, random interval was used by a failure or by a second call in flight.
    has_jittered: bool,
}

impl CallSchedule {
    /// Creates the schedule of one gateway out of `gateway_count`. Each gateway needs a different seed.
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

    /// Time from the failure of an attempt to the next attempt. `elapsed` is the duration of the failed attempt.
    #[must_use]
    pub fn delay_after_failure(&mut self, elapsed: Duration) -> Duration {
        let fraction = self.interval_fraction();
        self.has_jittered = true;
        self.interval.saturating_sub(elapsed).mul_f64(fraction)
    }

    /// Time from the start of an unanswered attempt to the start of the next one. `is_only_call` is true if no other
    /// attempt is in flight.
    ///
    /// The interval is random while only one call is in flight and none has failed. A second call in flight uses up the
    /// random first interval, as a failure does: from then on the maximum interval applies until an attempt succeeds.
    #[must_use]
    pub fn unanswered_interval(&mut self, is_only_call: bool) -> Duration {
        if !is_only_call {
            self.has_jittered = true;
        }
        let fraction = self.interval_fraction();
        self.max_interval
            .mul_f64(MIN_UNANSWERED_SHARE + (1.0 - MIN_UNANSWERED_SHARE) * fraction)
    }

    /// Makes the next interval random again after a success, because the next failure may affect all gateways at once.
    pub fn reset(&mut self) {
        self.has_jittered = false;
    }

    /// The share of the interval to wait: random for the first interval, 1 for later ones.
    fn interval_fraction(&mut self) -> f64 {
        if self.has_jittered {
            1.0
        } else {
            self.rng.f64()
        }
    }
}
