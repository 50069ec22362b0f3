//! A time-out that follows the typical reply time of a service, between limits that the caller's own objective
//! sets.

use super::mean::ExponentialMean;

/// How an [`AdaptiveTimeout`] is found.
pub(crate) struct TimeoutParameters {
    /// The time-out as a multiple of the typical reply time.
    pub(crate) multiple: f64,
    /// The shortest time-out, as a share of the objective.
    pub(crate) min_share: f64,
    /// The longest time-out, as a share of the objective.
    pub(crate) max_share: f64,
    /// Weight of one reply in the typical reply time.
    pub(crate) gain: f64,
}

/// The time-out. Times are in ms.
pub(crate) struct AdaptiveTimeout {
    parameters: &'static TimeoutParameters,
    /// The typical reply time; none before the first reply.
    baseline: Option<ExponentialMean>,
}

impl AdaptiveTimeout {
    pub(crate) fn new(parameters: &'static TimeoutParameters) -> Self {
        AdaptiveTimeout {
            parameters,
            baseline: None,
        }
    }

    /// The time-out where this is the caller's objective.
    pub(crate) fn timeout(&self, objective_ms: f64) -> f64 {
        let baseline_ms = self.baseline.as_ref().map_or(0.0, ExponentialMean::value);
        let timeout_ms = baseline_ms * self.parameters.multiple;
        timeout_ms.clamp(
            objective_ms * self.parameters.min_share,
            objective_ms * self.parameters.max_share,
        )
    }

    /// A reply took this long.
    pub(crate) fn record_reply(&mut self, elapsed_ms: f64) {
        let gain = self.parameters.gain;
        let baseline = self
            .baseline
            .get_or_insert_with(|| ExponentialMean::new(elapsed_ms, gain));
        // A single slow reply must not move it far.
        let capped = elapsed_ms.min(baseline.value() * self.parameters.multiple);
        baseline.update(capped);
    }
}

#[cfg(test)]
mod tests;
