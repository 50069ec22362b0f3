//! Exponential backoff with jitter.

use fastrand::Rng;

/// Delays that double with each step up to a limit. A random part keeps several callers from acting at the same time.
pub(crate) struct ExponentialBackoff {
    /// The first delay, in ms.
    pub(crate) base_ms: f64,
    /// Maximum number of times that the delay doubles.
    pub(crate) max_doublings: u32,
    /// Largest random addition to a delay, as a share of it.
    pub(crate) jitter: f64,
}

impl ExponentialBackoff {
    /// Returns the delay of this step, counted from 0, in ms. Draws one random number.
    pub(crate) fn delay_ms(&self, step: u32, rng: &mut Rng) -> f64 {
        let doublings = step.min(self.max_doublings);
        let delay_ms = self.base_ms * f64::from(1u32 << doublings);
        delay_ms * (1.0 + self.jitter * rng.f64())
    }
}

#[cfg(test)]
mod tests;
