//! Exponential decay over time. Times are in ms.

/// Returns the share of a value that remains after this time, if the value falls by a factor of e in each time
/// constant.
pub(crate) fn remaining_share(elapsed_ms: f64, time_constant_ms: f64) -> f64 {
    (-elapsed_ms.max(0.0) / time_constant_ms).exp()
}

/// An EWMA of a ratio that returns to 1 while there are no samples. Times are in ms.
pub(crate) struct DecayingRatio {
    value: f64,
    updated_at: f64,
}

impl DecayingRatio {
    pub(crate) fn new(now: f64) -> Self {
        DecayingRatio {
            value: 1.0,
            updated_at: now,
        }
    }

    pub(crate) fn current(&self, now: f64, time_constant_ms: f64) -> f64 {
        1.0 + (self.value - 1.0) * remaining_share(now - self.updated_at, time_constant_ms)
    }

    /// Moves the ratio from its current value towards the sample, by `weight` of their difference.
    pub(crate) fn record(&mut self, now: f64, current: f64, sample: f64, weight: f64) {
        self.value = current + weight * (sample - current);
        self.updated_at = now;
    }

    /// Resets the ratio to 1. The time of the last sample, `updated_at`, stays as it is.
    pub(crate) fn reset(&mut self) {
        self.value = 1.0;
    }

    /// Returns the time of the last sample, or the time of creation if there was none.
    pub(crate) fn updated_at(&self) -> f64 {
        self.updated_at
    }
}

#[cfg(test)]
mod tests;
