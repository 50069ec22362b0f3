//! How long the fleet takes to respond, estimated from this gateway's own attempts.
//!
//! The estimate weighs two methods. With many responses it is Little's law: attempts in flight over responses
//! per second, both averaged over time with exponentially falling weights. With few responses that ratio is
//! mostly chance; the mean latency of the last responses, an EWMA of its share of the objective, stands in.

use crate::api::Millis;
use crate::primitives::mean::{EventRate, ExponentialMean, TimeAverage};

/// Time constant of the averages of attempts in flight and of responses per second, in ms.
const AVERAGING_MS: Millis = 1500.0;
/// Responses within `AVERAGING_MS` at which both methods count half.
const RESPONSES_FOR_HALF_WEIGHT: f64 = 20.0;
/// Weight of one response in the mean latency share.
const LATENCY_SHARE_GAIN: f64 = 0.1;
/// The mean latency share before any response.
const INITIAL_LATENCY_SHARE: f64 = 0.2;
/// Factor on the mean latency share, which lags: a latency is known only once the response is there.
const LATENCY_SHARE_FACTOR: f64 = 1.5;

/// Attempts in flight, responses per second and latencies.
pub(super) struct LoadEstimate {
    in_flight: f64,
    mean_in_flight: TimeAverage,
    responses: EventRate,
    /// Mean latency as a share of the latency objective, from 0 to 1.
    latency_share: ExponentialMean,
}

impl LoadEstimate {
    /// Nothing is in flight and no latency is known.
    pub(super) fn new(now: Millis) -> Self {
        LoadEstimate {
            in_flight: 0.0,
            mean_in_flight: TimeAverage::new(now, AVERAGING_MS),
            responses: EventRate::new(now, AVERAGING_MS),
            latency_share: ExponentialMean::new(INITIAL_LATENCY_SHARE, LATENCY_SHARE_GAIN),
        }
    }

    /// An attempt has been sent.
    pub(super) fn attempt_started(&mut self, now: Millis) {
        self.update(now, 0.0);
        self.in_flight += 1.0;
    }

    /// An attempt has ended. Only a success counts as a response here.
    pub(super) fn attempt_ended(&mut self, now: Millis, succeeded: bool) {
        self.update(now, if succeeded { 1.0 } else { 0.0 });
        self.in_flight -= 1.0;
    }

    /// An attempt took this long, for a request with this latency objective. Both are in ms.
    pub(super) fn record_latency(&mut self, latency_ms: Millis, objective_ms: Millis) {
        let share = latency_ms / objective_ms.max(1.0);
        self.latency_share.update(share.min(1.0));
    }

    /// Attempts in flight now.
    pub(super) fn in_flight(&self) -> f64 {
        self.in_flight
    }

    /// Brings the averages up to now.
    pub(super) fn advance(&mut self, now: Millis) {
        self.update(now, 0.0);
    }

    /// Attempts in flight, averaged.
    pub(super) fn mean_in_flight(&self) -> f64 {
        self.mean_in_flight.value()
    }

    /// Expected latency of an attempt that is sent now, in ms. At an idle endpoint it takes `baseline_ms`.
    pub(super) fn expected_latency(&self, baseline_ms: Millis, objective_ms: Millis) -> Millis {
        let responses = self.responses.per_second() * AVERAGING_MS / 1000.0;
        let odds = (responses / RESPONSES_FOR_HALF_WEIGHT).powi(2);
        let weight = odds / (1.0 + odds);
        let queueing_ms = self.queueing_time().unwrap_or(baseline_ms);
        let latency_share = LATENCY_SHARE_FACTOR * self.latency_share.value();
        queueing_ms * weight + latency_share * objective_ms * (1.0 - weight)
    }

    /// The time in which the attempts in flight are answered at the present rate (Little's law), in ms; none
    /// without responses.
    fn queueing_time(&self) -> Option<Millis> {
        // Half of the backlog is the average: a burst alone is soon over, and where the fleet slows down both
        // rise.
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
