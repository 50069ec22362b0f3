//! How long a service takes to answer a request, estimated from one caller's own requests.

use super::mean::{EventRate, ExponentialMean, TimeAverage};

/// How a [`LoadEstimate`] is found.
pub(crate) struct LoadParameters {
    /// Time over which requests in flight and responses are averaged, in ms.
    pub(crate) averaging_ms: f64,
    /// Responses within that time at which the averages count half; single latencies give the rest.
    pub(crate) responses_for_half_weight: f64,
    /// Weight of one response in the mean latency share.
    pub(crate) latency_share_gain: f64,
    /// The latency as a share of the objective before any response.
    pub(crate) initial_latency_share: f64,
    /// Factor on the mean latency share, which lags: a latency is known only once the response is there.
    pub(crate) latency_share_factor: f64,
}

/// Requests in flight, responses per second and latencies. Times are in ms.
pub(crate) struct LoadEstimate {
    parameters: &'static LoadParameters,
    in_flight: f64,
    mean_in_flight: TimeAverage,
    responses: EventRate,
    /// Mean latency as a share of the latency objective.
    latency_share: ExponentialMean,
}

impl LoadEstimate {
    pub(crate) fn new(parameters: &'static LoadParameters, now: f64) -> Self {
        LoadEstimate {
            parameters,
            in_flight: 0.0,
            mean_in_flight: TimeAverage::new(now, parameters.averaging_ms),
            responses: EventRate::new(now, parameters.averaging_ms),
            latency_share: ExponentialMean::new(
                parameters.initial_latency_share,
                parameters.latency_share_gain,
            ),
        }
    }

    pub(crate) fn request_started(&mut self, now: f64) {
        self.update(now, 0.0);
        self.in_flight += 1.0;
    }

    /// A request has ended, with a response or without.
    pub(crate) fn request_ended(&mut self, now: f64, responded: bool) {
        self.update(now, if responded { 1.0 } else { 0.0 });
        self.in_flight -= 1.0;
    }

    /// A request took this long where this is its objective.
    pub(crate) fn record_latency(&mut self, latency_ms: f64, objective_ms: f64) {
        let share = latency_ms / objective_ms.max(1.0);
        self.latency_share.update(share.min(1.0));
    }

    /// Requests in flight now.
    pub(crate) fn in_flight(&self) -> f64 {
        self.in_flight
    }

    /// Brings the averages up to now.
    pub(crate) fn advance(&mut self, now: f64) {
        self.update(now, 0.0);
    }

    /// Requests in flight, averaged.
    pub(crate) fn mean_in_flight(&self) -> f64 {
        self.mean_in_flight.value()
    }

    /// Expected latency of a request sent now. `baseline_ms` is its latency at an idle service.
    pub(crate) fn expected_latency(&self, baseline_ms: f64, objective_ms: f64) -> f64 {
        // With few responses their rate is mostly chance, and one request that hangs would weigh most.
        let parameters = self.parameters;
        let responses = self.responses.per_second() * parameters.averaging_ms / 1000.0;
        let odds = (responses / parameters.responses_for_half_weight).powi(2);
        let weight = odds / (1.0 + odds);
        let queueing_ms = self.queueing_time().unwrap_or(baseline_ms);
        let latency_share = parameters.latency_share_factor * self.latency_share.value();
        queueing_ms * weight + latency_share * objective_ms * (1.0 - weight)
    }

    /// The time in which the requests in flight are answered at the present rate (Little's law), in ms; none
    /// without responses.
    fn queueing_time(&self) -> Option<f64> {
        // Half of it by the average: a burst alone is soon over, and where the service slows down both rise.
        let mean = self.mean_in_flight.value();
        let backlog = (self.in_flight.min(mean * 2.0) + mean) / 2.0;
        let queueing_ms = backlog / self.responses.per_second() * 1000.0;
        queueing_ms.is_finite().then_some(queueing_ms)
    }

    fn update(&mut self, now: f64, responses: f64) {
        self.mean_in_flight.update(now, self.in_flight);
        self.responses.record(now, responses);
    }
}

#[cfg(test)]
mod tests;
