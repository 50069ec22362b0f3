//! Waits between tries of a service that all gateways share: exponential backoff with full jitter.

use std::time::Duration;

/// Longest wait after the first failure, for each gateway that may try as well: what
/// makes one try makes all, and discovery serves some eight or nine whole lists a second on a large fleet. Past
/// that its line is full of calls that it answers too late, and it serves none at all.
const EACH: Duration = Duration::from_millis(100);
/// It is never shorter: a few gateways alone do no harm.
const LEAST: Duration = Duration::from_millis(200);
/// The longest wait doubles with each failure up to this: a list this much older still names most backends.
const MOST: Duration = Duration::from_secs(20);

/// The waits of one caller.
pub struct Backoff {
    rng: fastrand::Rng,
    first: Duration,
    longest: Duration,
}

impl Backoff {
    /// For one of so many gateways; the seed sets it apart from the others.
    pub fn new(gateways: u32, seed: u64) -> Self {
        let first = (EACH * gateways).clamp(LEAST, MOST);
        Backoff { rng: fastrand::Rng::with_seed(seed), first, longest: first }
    }

    /// The wait before the next try after one more failure: anything up to the longest, so that callers who
    /// failed together do not come back together.
    pub fn next(&mut self) -> Duration {
        let wait = self.longest.mul_f64(self.rng.f64());
        self.longest = (self.longest * 2).min(MOST);
        wait
    }

    /// A try has gone well.
    pub fn reset(&mut self) {
        self.longest = self.first;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Tries a second, over all gateways, of a service that fails every one of them.
    fn tries(gateways: u32) -> Vec<u32> {
        let mut tries = vec![0; 20];
        for seed in 0..gateways {
            let mut backoff = Backoff::new(gateways, seed.into());
            let mut at = Duration::ZERO;
            while at < Duration::from_secs(20) {
                tries[at.as_secs() as usize] += 1;
                at += backoff.next();
            }
        }
        tries
    }

    #[test]
    fn a_hundred_gateways_that_fail_together_do_not_come_back_together() {
        // Found at size: each tried again every 200 ms, 430 a second in all, and discovery, which bears eight
        // or nine, served none of them for as long as they went on.
        let tries = tries(100);
        assert!(tries[1..].iter().all(|n| *n <= 25), "{tries:?}");
        assert!(tries[10..].iter().sum::<u32>() <= 110, "all failing, they come ever more seldom: {tries:?}");
        assert!(tries[10..].iter().sum::<u32>() >= 40, "but they do go on: {tries:?}");
    }

    #[test]
    fn a_good_try_makes_the_next_wait_short_again() {
        let mut backoff = Backoff::new(3, 1);
        let waits: Vec<_> = (0..50).map(|_| backoff.next()).collect();
        assert!(waits.iter().all(|wait| *wait <= MOST) && waits.iter().any(|wait| *wait > MOST / 2));
        backoff.reset();
        assert!(backoff.next() <= LEAST);
    }
}
