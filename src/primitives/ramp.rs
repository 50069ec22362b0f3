//! A share that rises linearly to 1, as Envoy's slow start does with an aggression of 1.

/// A linear rise of a share from an initial value to 1. Times are in ms.
pub(crate) struct LinearRamp {
    pub(crate) start: f64,
    pub(crate) duration_ms: f64,
    /// The share at the start, and before it.
    pub(crate) initial_share: f64,
}

impl LinearRamp {
    /// Returns the share at this time; none once the share has reached 1.
    pub(crate) fn share_at(&self, now: f64) -> Option<f64> {
        let age_ms = now - self.start;
        if age_ms < self.duration_ms {
            let progress = (age_ms / self.duration_ms).clamp(0.0, 1.0);
            Some(self.initial_share + (1.0 - self.initial_share) * progress)
        } else {
            None
        }
    }
}

#[cfg(test)]
mod tests;
