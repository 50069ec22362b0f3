//! Latency estimates, as EWMAs: a baseline for each class of requests, and a ratio to it for each endpoint.
//!
//! A latency is first divided by what the attempts in flight at the endpoint added to it. The expected
//! latency of one more attempt is baseline · ratio · load factor.

use crate::api::Millis;
use crate::primitives::mean::RunningMean;
use crate::state::TrackedEndpoint;

/// Weight of one response in an endpoint's relative latency: about the last 10 responses count.
const RELATIVE_LATENCY_WEIGHT: f64 = 0.1;
/// Time constant with which a relative latency returns to 1, the fleet's, in ms. An endpoint that was slow
/// once would not be sent attempts again otherwise.
const RELATIVE_LATENCY_DECAY_MS: Millis = 10_000.0;
/// Largest relative latency of one response; a larger one counts as this.
const MAX_RELATIVE_SAMPLE: f64 = 10.0;
/// Shortest latency, in ms; a shorter one, of a response or of the baseline, counts as this.
const MIN_LATENCY_MS: Millis = 0.1;
/// Least relative latency that is divided by.
const MIN_RELATIVE_LATENCY: f64 = 0.1;
/// Weight of one response in a class's baseline: about the last 100 responses count.
const BASELINE_WEIGHT: f64 = 0.01;
/// Baseline before the first response, as a share of the latency objective.
pub(super) const INITIAL_BASELINE_SHARE: f64 = 0.2;
/// Attempts of other gateways that are assumed in flight at each endpoint.
const ASSUMED_OTHERS_IN_FLIGHT: f64 = 1.0;
/// An endpoint with attempts in flight that has not responded for longer than this number of baselines
/// counts as slower.
const MAX_BASELINES_WITHOUT_RESPONSE: f64 = 3.0;

/// Factor on the latency of an idle endpoint where this gateway has this many attempts in flight: a latency
/// rises in proportion to the attempts in flight (Little's law at a constant rate of responses).
fn load_factor(in_flight: f64) -> f64 {
    (in_flight + ASSUMED_OTHERS_IN_FLIGHT) / (1.0 + ASSUMED_OTHERS_IN_FLIGHT)
}

/// What a latency would have been at an idle endpoint, in ms, by `in_flight` attempts of this gateway
/// there, the one that took it included. An idle endpoint has this one attempt of the gateway, and the one
/// of another gateway that is assumed.
pub(super) fn at_idle_endpoint(latency_ms: Millis, in_flight: f64) -> Millis {
    latency_ms.max(MIN_LATENCY_MS) / load_factor(in_flight)
}

impl TrackedEndpoint {
    /// Records the latency that a successful attempt would have had at an idle endpoint.
    pub(super) fn record_latency(
        &mut self,
        now: Millis,
        idle_ms: Millis,
        baseline: &mut RunningMean,
    ) {
        let sample = (idle_ms / baseline.value().max(MIN_LATENCY_MS)).min(MAX_RELATIVE_SAMPLE);
        let relative = self
            .relative_latency
            .current(now, RELATIVE_LATENCY_DECAY_MS);
        self.relative_latency
            .record(now, relative, sample, RELATIVE_LATENCY_WEIGHT);
        baseline.record(
            idle_ms / relative.max(MIN_RELATIVE_LATENCY),
            BASELINE_WEIGHT,
        );
    }

    /// Expected latency of one more attempt, in ms.
    pub(super) fn expected_latency(&self, now: Millis, baseline_ms: Millis) -> Millis {
        let mut relative = self
            .relative_latency
            .current(now, RELATIVE_LATENCY_DECAY_MS);
        if self.in_flight > 0 {
            let without_response_ms = now - self.last_valid_response_at;
            relative =
                relative.max(without_response_ms / (baseline_ms * MAX_BASELINES_WITHOUT_RESPONSE));
        }
        relative * baseline_ms * load_factor(f64::from(self.in_flight) + 1.0)
    }
}
