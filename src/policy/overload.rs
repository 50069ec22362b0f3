//! The expected latency of a request that is admitted now, by which the gateway sheds load.
//!
//! The estimate is based on this gateway's own attempts. It therefore reflects whatever slows the fleet:
//! other gateways, other work on the endpoints' machines, costly requests. The estimate rises at once with
//! each attempt that is sent.

use crate::api::Millis;
use crate::policy::load_estimate::LoadEstimate;

/// Number of attempts in flight per endpoint, over all gateways, that are always admitted. Without a minimum,
/// a few attempts that hang would make the gateway reject everything, and without responses the gateway would
/// learn nothing.
const ALWAYS_ADMITTED_PER_ENDPOINT: f64 = 3.0;

/// Inputs of the expected latency besides the load. Times and durations are in ms.
pub(super) struct FleetInputs {
    pub(super) now: Millis,
    /// Number of endpoints that take requests.
    pub(super) ready_endpoints: usize,
    /// Number of gateways that share the endpoints.
    pub(super) gateway_count: u32,
    /// Latency of the request's class at an idle endpoint.
    pub(super) baseline_latency_ms: Millis,
    /// Latency objective of the request's class.
    pub(super) latency_objective_ms: Millis,
}

/// Returns the expected time to the response of a request that is admitted now, in ms: 0 while little is in
/// flight, infinite without endpoints. Updates the load up to now.
pub(super) fn expected_latency(load: &mut LoadEstimate, fleet: &FleetInputs) -> Millis {
    load.advance(fleet.now);
    if fleet.ready_endpoints == 0 {
        return f64::INFINITY;
    }
    if load.in_flight() < always_admitted(fleet) {
        return 0.0;
    }
    load.expected_latency(fleet.baseline_latency_ms, fleet.latency_objective_ms)
}

/// Returns the number of attempts in flight at this gateway below which any request is admitted.
fn always_admitted(fleet: &FleetInputs) -> f64 {
    let endpoints = fleet.ready_endpoints as f64;
    let gateways = f64::from(fleet.gateway_count.max(1));
    (endpoints * ALWAYS_ADMITTED_PER_ENDPOINT / gateways).max(1.0)
}

#[cfg(test)]
mod tests;
