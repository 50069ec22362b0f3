//! Waits between tries: exponential backoff with full jitter for one that no other caller minds, and a cadence for
//! the tries of a service that all gateways share.

use std::time::Duration;

/// Exponential backoff with full jitter.
pub struct Backoff {
    rng: fastrand::Rng,
    first: Duration,
    most: Duration,
    longest: Duration,
}

impl Backoff {
    /// Waits of at least half of `first`; the longest doubles with each failure up to `most`.
    pub fn new(first: Duration, most: Duration, seed: u64) -> Self {
        Backoff { rng: fastrand::Rng::with_seed(seed), first, most, longest: first }
    }

    /// The wait before the next try after one more failure.
    pub fn next(&mut self) -> Duration {
        let least = self.first / 2;
        let wait = least + self.longest.saturating_sub(least).mul_f64(self.rng.f64());
        self.longest = (self.longest * 2).min(self.most);
        wait
    }

    /// A try has gone well.
    pub fn reset(&mut self) {
        self.longest = self.first;
    }
}

/// From one try to the next, for each gateway that may try as well: what makes one try makes all, and discovery
/// serves some eight or nine whole lists a second on a large fleet.
const EACH: Duration = Duration::from_millis(100);
/// It is never shorter: a few gateways alone do no harm.
const LEAST: Duration = Duration::from_millis(200);

/// Part of the longest wait that a try without an answer is given at least before the next begins beside it.
const UNANSWERED: f64 = 0.25;

/// The tries of one caller of a service that all gateways share, until one goes well. The first wait is left to
/// chance, so that callers who failed together do not come back together; from then on it is the same for all, which
/// keeps them as far apart as they are and lets none wait longer than the others.
pub struct Cadence {
    rng: fastrand::Rng,
    every: Duration,
    most: Duration,
    spread: bool,
}

impl Cadence {
    /// For one of so many gateways, with tries at most so far apart; the seed sets it apart from the others.
    pub fn new(gateways: u32, most: Duration, seed: u64) -> Self {
        let every = (EACH * gateways).clamp(LEAST.min(most), most);
        Cadence { rng: fastrand::Rng::with_seed(seed), every, most, spread: false }
    }

    /// From the failure of a try that took so long to the next.
    pub fn after_failure(&mut self, took: Duration) -> Duration {
        let chance = if std::mem::replace(&mut self.spread, true) { 1.0 } else { self.rng.f64() };
        self.every.saturating_sub(took).mul_f64(chance)
    }

    /// From the begin of a try that has no answer to the next; `first` if it is the only one.
    pub fn unanswered(&mut self, first: bool) -> Duration {
        self.spread |= !first;
        let chance = if self.spread { 1.0 } else { self.rng.f64() };
        self.most.mul_f64(UNANSWERED + (1.0 - UNANSWERED) * chance)
    }

    /// A try has gone well: the next failure may be one that all gateways see at once.
    pub fn reset(&mut self) {
        self.spread = false;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MOST: Duration = Duration::from_secs(4);

    /// When each gateway tries a service that fails every one of them at once, in the first 20 s.
    fn tries(gateways: u32) -> Vec<Vec<Duration>> {
        let tries = |seed| {
            let mut cadence = Cadence::new(gateways, MOST, seed);
            let next = |at: &Duration| Some(*at + cadence.after_failure(Duration::ZERO));
            std::iter::successors(Some(Duration::ZERO), next).take_while(|at| *at < 5 * MOST).collect()
        };
        (0..gateways.into()).map(tries).collect()
    }

    #[test]
    fn gateways_that_fail_together_do_not_come_back_together() {
        // Found at size: each tried again every 200 ms, 430 a second in all, and discovery, which bears eight
        // or nine, served none of them for as long as they went on.
        for gateways in [40, 100, 300, 720] {
            let mut seconds = [0.0; 20];
            for at in tries(gateways).concat() {
                seconds[at.as_secs() as usize] += 1.0;
            }
            let even = f64::from(gateways) / MOST.as_secs_f64();
            let most = even + 4.0 * even.sqrt();
            assert!(seconds[1..].iter().all(|n| *n <= most), "{gateways}: {seconds:?}, {even} would be even");
        }
    }

    /// Whenever the service is back, each gateway tries it within the time that is left for that.
    #[test]
    fn no_gateway_waits_longer_than_it_may() {
        for gateways in [1, 3, 40, 300, 720] {
            for tries in tries(gateways) {
                assert!(tries.windows(2).all(|pair| pair[1] - pair[0] <= MOST), "{gateways}: {tries:?}");
                assert!(tries.last().unwrap() >= &(4 * MOST), "they go on");
            }
        }
    }

    #[test]
    fn a_few_gateways_try_often() {
        let tries = tries(3).concat();
        assert!((180..=330).contains(&tries.len()), "{}", tries.len());
    }

    #[test]
    fn waits_grow_up_to_the_longest_and_a_good_try_makes_them_short_again() {
        let first = Duration::from_millis(50);
        let mut backoff = Backoff::new(first, MOST, 1);
        let waits: Vec<_> = (0..50).map(|_| backoff.next()).collect();
        assert!(waits.iter().all(|wait| *wait >= first / 2 && *wait <= MOST), "{waits:?}");
        assert!(waits.iter().any(|wait| *wait > MOST / 2), "{waits:?}");
        assert!(waits.iter().sum::<Duration>() > 20 * MOST / 2, "{waits:?}");
        backoff.reset();
        assert!(backoff.next() <= first);
    }
}
