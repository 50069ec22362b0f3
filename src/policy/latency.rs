//! Latency estimates: a baseline for each class of requests, and how each endpoint compares to it.

use crate::api::Millis;
use crate::primitives::mean::RunningMean;
use crate::state::TrackedEndpoint;

/// Weight of one response in an endpoint's relative latency: about the last ten count.
const RELATIVE_LATENCY_WEIGHT: f64 = 0.1;
/// Time constant with which a relative latency returns to the fleet's, in ms.
const RELATIVE_LATENCY_MEMORY_MS: f64 = 10_000.0;
/// Most that one response may say of an endpoint's relative latency.
const MAX_RELATIVE_LATENCY: f64 = 10.0;
/// Least latency, in ms, and least relative latency that are divided by.
const MIN_DIVISOR: f64 = 0.1;
/// Weight of one response in a class's baseline: about the last hundred count.
const BASELINE_WEIGHT: f64 = 0.01;
/// Baseline before the first response, as a share of the latency objective.
pub(super) const INITIAL_BASELINE_SHARE: f64 = 0.2;
/// Attempts of other gateways assumed in flight at each endpoint.
const ASSUMED_OTHERS_IN_FLIGHT: f64 = 1.0;
/// An endpoint with attempts in flight counts as slower once it is silent for more than this many baselines.
const MAX_SILENT_BASELINES: f64 = 3.0;

/// Factor on the latency of an endpoint at which this gateway has this many attempts in flight.
fn load_factor(in_flight: f64) -> f64 {
    (in_flight + ASSUMED_OTHERS_IN_FLIGHT) / (1.0 + ASSUMED_OTHERS_IN_FLIGHT)
}

/// What a latency would have been without the other attempts that were in flight at the endpoint.
pub(super) fn at_idle_endpoint(latency_ms: Millis, in_flight: f64) -> Millis {
    latency_ms.max(MIN_DIVISOR) / load_factor(in_flight)
}

impl TrackedEndpoint {
    /// Takes in the latency that a successful attempt would have had at an idle endpoint.
    pub(super) fn record_latency(
        &mut self,
        now: Millis,
        idle_ms: Millis,
        baseline: &mut RunningMean,
    ) {
        let sample = (idle_ms / baseline.value().max(MIN_DIVISOR)).min(MAX_RELATIVE_LATENCY);
        let relative = self
            .relative_latency
            .current(now, RELATIVE_LATENCY_MEMORY_MS);
        self.relative_latency
            .record(now, relative, sample, RELATIVE_LATENCY_WEIGHT);
        baseline.record(idle_ms / relative.max(MIN_DIVISOR), BASELINE_WEIGHT);
    }

    /// Time that one more attempt is expected to take, in ms.
    pub(super) fn expected_latency(&self, now: Millis, baseline_ms: Millis) -> Millis {
        let mut relative = self
            .relative_latency
            .current(now, RELATIVE_LATENCY_MEMORY_MS);
        if self.in_flight > 0 {
            let silent_ms = now - self.last_response_at;
            relative = relative.max(silent_ms / (baseline_ms * MAX_SILENT_BASELINES));
        }
        relative * baseline_ms * load_factor(f64::from(self.in_flight) + 1.0)
    }
}
