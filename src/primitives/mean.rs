//! Exponentially weighted moving averages (EWMA): by samples, over time, and of rates.

use super::decay::remaining_share;

/// Returns an EWMA after one more sample: the mean moves towards the sample by the share `gain` of the difference.
pub(crate) fn exponential_mean(mean: f64, sample: f64, gain: f64) -> f64 {
    mean + (sample - mean) * gain
}

/// An EWMA over samples, regardless of the time between them. With a gain of 1/n about the last n samples count.
pub(crate) struct ExponentialMean {
    value: f64,
    gain: f64,
}

impl ExponentialMean {
    /// Creates a mean with the value `initial`. Each sample moves the mean by the share `gain` of the difference.
    pub(crate) fn new(initial: f64, gain: f64) -> Self {
        ExponentialMean {
            value: initial,
            gain,
        }
    }

    pub(crate) fn update(&mut self, sample: f64) {
        self.value = exponential_mean(self.value, sample, self.gain);
    }

    pub(crate) fn value(&self) -> f64 {
        self.value
    }
}

/// A mean that adapts quickly at first and slowly later: the arithmetic mean of its first samples, and an EWMA once
/// there are many samples.
pub(crate) struct RunningMean {
    value: f64,
    samples: f64,
}

impl RunningMean {
    /// Creates a mean with the value `initial` until the first sample.
    pub(crate) fn new(initial: f64) -> Self {
        RunningMean {
            value: initial,
            samples: 0.0,
        }
    }

    pub(crate) fn value(&self) -> f64 {
        self.value
    }

    /// Adds a sample with a weight of at least `min_weight`.
    pub(crate) fn record(&mut self, sample: f64, min_weight: f64) {
        self.samples += 1.0;
        let weight = min_weight.max(1.0 / self.samples);
        self.value = exponential_mean(self.value, sample, weight);
    }
}

/// An EWMA over time of a quantity that changes in steps. Times are in ms.
pub(crate) struct TimeAverage {
    value: f64,
    updated_at: f64,
    time_constant_ms: f64,
}

impl TimeAverage {
    /// Creates an average of 0. A past value counts 1/e after `time_constant_ms`.
    pub(crate) fn new(now: f64, time_constant_ms: f64) -> Self {
        TimeAverage {
            value: 0.0,
            updated_at: now,
            time_constant_ms,
        }
    }

    /// Adds the time since the last update, during which the quantity had the value `current`.
    pub(crate) fn update(&mut self, now: f64, current: f64) {
        let remaining = remaining_share(now - self.updated_at, self.time_constant_ms);
        self.value = self.value * remaining + current * (1.0 - remaining);
        self.updated_at = now;
    }

    pub(crate) fn value(&self) -> f64 {
        self.value
    }
}

/// The rate of events, in events per second, as an EWMA over time. Times are in ms.
pub(crate) struct EventRate {
    per_second: f64,
    updated_at: f64,
    time_constant_ms: f64,
}

impl EventRate {
    /// Creates a rate of 0. An event counts 1/e after `time_constant_ms`.
    pub(crate) fn new(now: f64, time_constant_ms: f64) -> Self {
        EventRate {
            per_second: 0.0,
            updated_at: now,
            time_constant_ms,
        }
    }

    /// Records `events` that occur now; 0 only lets the rate decay.
    pub(crate) fn record(&mut self, now: f64, events: f64) {
        let remaining = remaining_share(now - self.updated_at, self.time_constant_ms);
        self.per_second = self.per_second * remaining + events * 1000.0 / self.time_constant_ms;
        self.updated_at = now;
    }

    pub(crate) fn per_second(&self) -> f64 {
        self.per_second
    }
}

#[cfg(test)]
mod tests;
