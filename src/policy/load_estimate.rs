//! Estimate of the time that the fleet takes to respond, from this gateway's own attempts.
//!
//! The estimate is a weighted mean of two methods. With many responses it is mostly Little's law: attempts in
//! flight divided by responses per second, both averaged over time with exponentially falling weights. With
//! few responses that ratio is mostly chance, and the mean latency of the last responses, an EWMA of its
//! share of the objective, is used instead.

use crate::api::Millis;
use crate::primitives::mean::{EventRate, ExponentialMean, TimeAverage};

/// Time constant of the averages of attempts in flight and of responses per second, in ms.
const AVERAGING_MS: Millis = 1500.0;
/// Number of responses within `AVERAGING_MS` at which both methods have the same weight.
const RESPONSES_FOR_HALF_WEIGHT: f64 = 20.0;
/// Weight of one response in the mean latency share.
const LATENCY_SHARE_GAIN: f64 = 0.1;
/// Mean latency share before the first response.
const INITIAL_LATENCY_SHARE: f64 = 0.2;
/// Factor on the mean latency share. It makes up for the lag of that mean: a latency is known only after the
/// response.
const LATENCY_SHARE_FACTOR: f64 = 1.5;

/// Tracks attempts in flight, responses per second and latencies.
pub(super) struct LoadEstimate {
    in_flight: f64,
    mean_in_flight: TimeAverage,
    responses: EventRate,
    /// Mean latency as a share of the latency objective, from 0 to 1.
    latency_share: ExponentialMean,
}

impl LoadEstimate {
    /// Creates an estimate without attempts in flight and without known latencies.
    pub(super) fn new(now: Millis) -> Self {
        LoadEstimate {
            in_flight: 0.0,
            mean_in_flight: TimeAverage::new(now, AVERAGING_MS),
            responses: EventRate::new(now, AVERAGING_MS),
            latency_share: ExponentialMean::new(INITIAL_LATENCY_SHARE, LATENCY_SHARE_GAIN),
        }
    }

    /// Records the start of an attempt.
    pub(super) fn attempt_started(&mut self, now: Millis) {
        self.update(now, 0.0);
        self.in_flight += 1.0;
    }

    /// Records the end of an attempt. Only a success counts as a response here.
    pub(super) fn attempt_ended(&mut self, now: Millis, succeeded: bool) {
        self.update(now, if succeeded { 1.0 } else { 0.0 });
        self.in_flight -= 1.0;
    }

    /// Records the latency of an attempt for a request with this latency objective. Both are in ms.
    pub(super) fn record_latency(&mut self, latency_ms: Millis, objective_ms: Millis) {
        let share = latency_ms / objective_ms.max(1.0);
        self.latency_share.update(share.min(1.0));
    }

    /// Returns the number of attempts in flight now.
    pub(super) fn in_flight(&self) -> f64 {
        self.in_flight
    }

    /// Updates the averages up to now.
    pub(super) fn advance(&mut self, now: Millis) {
        self.update(now, 0.0);
    }

    /// Returns the average number of attempts in flight.
    pub(super) fn mean_in_flight(&self) -> f64 {
        self.mean_in_flight.value()
    }

    /// Returns the expected latency of an attempt that is sent now, in ms. `baseline_ms` is the latency at an
    /// idle endpoint.
    pub(super) fn expected_latency(&self, baseline_ms: Millis, objective_ms: Millis) -> Millis {
        let responses = self.responses.per_second() * AVERAGING_MS / 1000.0;
        let odds = (responses / RESPONSES_FOR_HALF_WEIGHT).powi(2);
        let weight = odds / (1.0 + odds);
        let queueing_ms = self.queueing_time().unwrap_or(baseline_ms);
        let latency_share = LATENCY_SHARE_FACTOR * self.latency_share.value();
        queueing_ms * weight + latency_share * objective_ms * (1.0 - weight)
    }

    /// Returns the time in which the attempts in flight are answered at the present rate (Little's law), in
    /// ms; none without responses.
    fn queueing_time(&self) -> Option<Millis> {
        // The average makes up half of the backlog: a burst of attempts alone is soon over, while both values
        // rise if the fleet slows down.
        let mean = self.mean_in_flight.value();
        let backlog = (self.in_flight.min(mean * 2.0) + mean) / 2.0;
        let queueing_ms = backlog / self.responses.per_second() * 1000.0;
        queueing_ms.is_finite().then_some(queueing_ms)
    }

    fn update(&mut self, now: Millis, responses: f64) {
        self.mean_in_flight.update(now, self.in_flight);
        self.responses.record(now, responses);
    }
}

#[cfg(test)]
mod tests;
