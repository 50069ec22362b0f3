//! Ejection of a server after consecutive failures, for a time that doubles with each further one. Times are in ms.

use fastrand::Rng;

pub(crate) struct EjectionParameters {
    /// Consecutive failures that eject a server.
    pub(crate) failures: u32,
    /// The first ejection time.
    pub(crate) base_ms: f64,
    /// How often that doubles at most.
    pub(crate) max_doublings: u32,
    /// Random part added to an ejection time, as a share of it, so that clients do not return at the same time.
    pub(crate) jitter: f64,
}

/// The failures of one server, and its ejection.
#[derive(Default)]
pub(crate) struct Ejection {
    consecutive_failures: u32,
    is_ejected: bool,
    /// End of the ejection time.
    until: f64,
}

impl Ejection {
    /// A server stays ejected until it succeeds, also after the ejection time.
    pub(crate) fn is_ejected(&self) -> bool {
        self.is_ejected
    }

    /// Whether a request may be sent: always without an ejection; after the ejection time if the server is idle, so
    /// that this one request tests it.
    pub(crate) fn admits(&self, now: f64, is_idle: bool) -> bool {
        !self.is_ejected || now >= self.until && is_idle
    }

    pub(crate) fn record_success(&mut self) {
        *self = Ejection::default();
    }

    pub(crate) fn record_failure(
        &mut self,
        now: f64,
        parameters: &EjectionParameters,
        rng: &mut Rng,
    ) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        if self.consecutive_failures >= parameters.failures {
            let doublings =
                (self.consecutive_failures - parameters.failures).min(parameters.max_doublings);
            let ejection_ms = parameters.base_ms * f64::from(1u32 << doublings);
            self.is_ejected = true;
            self.until = now + ejection_ms * (1.0 + parameters.jitter * rng.f64());
        }
    }
}

#[cfg(test)]
mod tests;
