//! Latency estimates, as EWMAs: a baseline for each class of requests, and for each endpoint a ratio to the
//! baseline, its relative latency.
//!
//! A measured latency is first divided by a load factor, which accounts for the attempts in flight at the
//! endpoint. The expected latency of one more attempt is baseline · ratio · load factor.

use crate::api::Millis;
use crate::primitives::mean::RunningMean;
use crate::state::TrackedEndpoint;

/// Weight of one response in an endpoint's relative latency: about the last 10 responses count.
const RELATIVE_LATENCY_WEIGHT: f64 = 0.1;
/// Time constant with which a relative latency returns to 1, the mean of the fleet, in ms. Otherwise an
/// endpoint that was slow once would not be sent attempts again.
const RELATIVE_LATENCY_DECAY_MS: Millis = 10_000.0;
/// Upper bound of the relative latency of one response.
const MAX_RELATIVE_SAMPLE: f64 = 10.0;
/// Lower bound of a latency, either of a response or of the baseline, in ms.
const MIN_LATENCY_MS: Millis = 0.1;
/// Lower bound of a relative latency as a divisor.
const MIN_RELATIVE_LATENCY: f64 = 0.1;
/// Weight of one response in a class's baseline: about the last 100 responses count.
const BASELINE_WEIGHT: f64 = 0.01;
/// Baseline before the first response, as a share of the latency objective.
pub(super) const INITIAL_BASELINE_SHARE: f64 = 0.2;
/// Number of attempts of other gateways that are assumed in flight at each endpoint.
const ASSUMED_PEER_ATTEMPTS_IN_FLIGHT: f64 = 1.0;
/// Number of baselines without a response after which an endpoint with attempts in flight counts as slower.
const MAX_BASELINES_WITHOUT_RESPONSE: f64 = 3.0;

/// Returns the factor by which this many attempts of this gateway in flight raise the latency of an idle
/// endpoint. Latency rises in proportion to the attempts in flight (Little's law at a constant rate of
/// responses).
fn load_factor(in_flight: f64) -> f64 {
    (in_flight + ASSUMED_PEER_ATTEMPTS_IN_FLIGHT) / (1.0 + ASSUMED_PEER_ATTEMPTS_IN_FLIGHT)
}

/// Returns the latency that an attempt would have had at an idle endpoint, in ms. `in_flight` is the number
/// of this gateway's attempts at the endpoint, including the measured one. An endpoint counts as idle with
/// this one attempt of the gateway and the one assumed attempt of another gateway.
pub(super) fn idle_endpoint_latency(latency_ms: Millis, in_flight: f64) -> Millis {
    latency_ms.max(MIN_LATENCY_MS) / load_factor(in_flight)
}

impl TrackedEndpoint {
    /// Records the latency that a successful attempt would have had at an idle endpoint.
    pub(super) fn record_latency(
        &mut self,
        now: Millis,
        idle_latency_ms: Millis,
        baseline: &mut RunningMean,
    ) {
        let sample =
            (idle_latency_ms / baseline.value().max(MIN_LATENCY_MS)).min(MAX_RELATIVE_SAMPLE);
        let relative = self
            .relative_latency
            .current(now, RELATIVE_LATENCY_DECAY_MS);
        self.relative_latency
            .record(now, relative, sample, RELATIVE_LATENCY_WEIGHT);
        baseline.record(
            idle_latency_ms / relative.max(MIN_RELATIVE_LATENCY),
            BASELINE_WEIGHT,
        );
    }

    /// Returns the expected latency of one more attempt, in ms.
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
