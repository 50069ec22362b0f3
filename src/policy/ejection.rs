//! Ejection of outliers, as in Envoy: consecutive failures eject an endpoint for a time that doubles with
//! each further failure. After that time one request probes it, and a success ends the ejection.

use crate::api::Millis;
use crate::primitives::backoff::ExponentialBackoff;
use crate::state::{Ejection, TrackedEndpoint};
use fastrand::Rng;

/// Consecutive failures that eject an endpoint. One alone may be chance.
const MIN_FAILURES: u32 = 2;
/// The ejection time. The longest, 16 s, keeps probes of an endpoint that stays down rare.
const EJECTION_TIME: ExponentialBackoff = ExponentialBackoff {
    base_ms: 500.0,
    max_doublings: 5,
    jitter: 0.2,
};

impl Ejection {
    /// A success ends the ejection and forgets the failures.
    pub(super) fn record_success(&mut self) {
        *self = Ejection::default();
    }

    pub(super) fn record_failure(&mut self, now: Millis, rng: &mut Rng) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        if self.consecutive_failures >= MIN_FAILURES {
            let step = self.consecutive_failures - MIN_FAILURES;
            self.is_ejected = true;
            self.until = now + EJECTION_TIME.delay_ms(step, rng);
        }
    }

    /// Whether an attempt may be sent: always without an ejection; after the ejection time if the endpoint is
    /// idle, so that this one attempt probes it.
    fn allows_attempt(&self, now: Millis, is_idle: bool) -> bool {
        !self.is_ejected || now >= self.until && is_idle
    }
}

impl TrackedEndpoint {
    /// Whether ejection permits an attempt now. Other reasons may still rule it out.
    pub(super) fn ejection_allows_attempt(&self, now: Millis) -> bool {
        self.health
            .ejection
            .allows_attempt(now, self.in_flight == 0)
    }

    /// Whether it takes attempts of any plan now.
    pub(super) fn is_available(&self, now: Millis) -> bool {
        self.is_ready() && self.ejection_allows_attempt(now) && !self.health.is_rejecting_any(now)
    }
}

/// Panic mode: whether most of the ready endpoints are ejected. Ejections are ignored then, as a broken
/// network path looks the same and to send nothing would be worse.
pub(super) fn in_panic_mode<'a>(endpoints: impl Iterator<Item = &'a TrackedEndpoint>) -> bool {
    let mut ready = 0;
    let mut ejected = 0;
    for endpoint in endpoints.filter(|endpoint| endpoint.is_ready()) {
        ready += 1;
        ejected += u32::from(endpoint.health.ejection.is_ejected);
    }
    ejected * 2 > ready
}

#[cfg(test)]
mod tests;
