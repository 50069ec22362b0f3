//! A mean that adapts quickly at first and slowly later.

/// Weighs its first samples alike, and once there are many, all samples with exponentially falling weights.
pub(crate) struct RunningMean {
    value: f64,
    samples: f64,
}

impl RunningMean {
    /// `initial` stands in until the first sample.
    pub(crate) fn new(initial: f64) -> Self {
        RunningMean { value: initial, samples: 0.0 }
    }

    pub(crate) fn value(&self) -> f64 {
        self.value
    }

    /// Adds a sample, with `min_weight` at least.
    pub(crate) fn record(&mut self, sample: f64, min_weight: f64) {
        self.samples += 1.0;
        self.value += (sample - self.value) * min_weight.max(1.0 / self.samples);
    }
}

#[cfg(test)]
mod tests;
