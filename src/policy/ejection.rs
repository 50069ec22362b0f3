//! Ejection of outliers, as in Envoy: consecutive failures eject an endpoint for a time that doubles with
//! each further failure. After that time one request probes the endpoint, and a success ends the ejection.

use crate::api::Millis;
use crate::primitives::backoff::ExponentialBackoff;
use crate::state::{Ejection, TrackedEndpoint};
use fastrand::Rng;

/// Number of consecutive failures that eject an endpoint. A single failure may be chance.
const MIN_CONSECUTIVE_FAILURES: u32 = 2;
/// The ejection time. The longest one, 16 s, keeps probes of an endpoint that stays down rare.
const EJECTION_TIME: ExponentialBackoff = ExponentialBackoff {
    base_ms: 500.0,
    max_doublings: 5,
    jitter: 0.2,
};

impl Ejection {
    /// Records a success, which ends the ejection and clears the failures.
    pub(super) fn record_success(&mut self) {
        *self = Ejection::default();
    }

    pub(super) fn record_failure(&mut self, now: Millis, rng: &mut Rng) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        if self.consecutive_failures >= MIN_CONSECUTIVE_FAILURES {
            let step = self.consecutive_failures - MIN_CONSECUTIVE_FAILURES;
            self.is_ejected = true;
            self.until = now + EJECTION_TIME.delay_ms(step, rng);
        }
    }

    /// Returns whether an attempt may be sent: always without an ejection; otherwise after the ejection time
    /// if the endpoint is idle, so that only this attempt probes it.
    fn allows_attempt(&self, now: Millis, is_idle: bool) -> bool {
        !self.is_ejected || now >= self.until && is_idle
    }
}

impl TrackedEndpoint {
    /// Returns whether ejection permits an attempt now. Other reasons may still rule the endpoint out.
    pub(super) fn ejection_allows_attempt(&self, now: Millis) -> bool {
        self.health
            .ejection
            .allows_attempt(now, self.in_flight == 0)
    }

    /// Returns whether the endpoint accepts attempts of any plan now.
    pub(super) fn is_available(&self, now: Millis) -> bool {
        self.is_ready() && self.ejection_allows_attempt(now) && !self.health.is_rejecting_any(now)
    }
}

/// Returns whether panic mode applies: most of the ready endpoints are ejected. Ejections are then ignored,
/// as a broken network path looks the same and sending nothing would be worse.
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
