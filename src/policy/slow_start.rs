//! Slow start: while an endpoint that has just started is warming up, its own token bucket limits the
//! attempts to those that it has capacity for.

use crate::api::{Endpoint, Millis, Rules};
use crate::primitives::ramp::LinearRamp;
use crate::state::{EndpointTable, WarmUp, WarmingMembers};

/// Smallest share of its capacity that an endpoint is assumed to start with.
const MIN_CAPACITY_SHARE: f64 = 0.05;
/// Maximum number of tokens of one endpoint. With more tokens, attempts could arrive in bursts that the
/// endpoint has no capacity for yet.
const MAX_TOKENS: f64 = 1.0;
/// Highest rate of attempts to an endpoint, as a share of the overload multiple: the multiple of the usual
/// rate that overloads the endpoint. Gateways differ in load, and this share leaves room for gateways that
/// send more than the average.
const MAX_OVERLOAD_SHARE: f64 = 0.5;

/// Returns the warm-up of an endpoint that has started recently according to the endpoint list, or that is
/// listed again after its removal; none for any other. As the clocks of two machines may differ, a start in
/// the future counts as now.
pub(super) fn ramp(
    now: Millis,
    rules: &Rules,
    entry: &Endpoint,
    is_relisted: bool,
) -> Option<LinearRamp> {
    let is_recent = entry.started_at > 0.0 && now - entry.started_at < rules.slow_start_ms;
    let start = is_recent
        .then_some(entry.started_at.min(now))
        .or(is_relisted.then_some(now))?;
    let initial_share = rules.slow_start_min_capacity.clamp(MIN_CAPACITY_SHARE, 1.0);
    Some(LinearRamp {
        start,
        duration_ms: rules.slow_start_ms,
        initial_share,
    })
}

/// Returns the rate of attempts to a warm endpoint, in attempts per second: an equal share of `request_rate`
/// by capacity, scaled down if `MAX_OVERLOAD_SHARE` of the overload multiple is below 1. `capacity` is the
/// capacity of all endpoints that the gateway uses, as a number of warm endpoints.
pub(super) fn capped_rate_per_endpoint(rules: &Rules, request_rate: f64, capacity: f64) -> f64 {
    request_rate / capacity.max(1.0) * (rules.overload_multiple * MAX_OVERLOAD_SHARE).min(1.0)
}

/// Refills the tokens of the members that are warming up. `warm_rate` is the rate of a warm endpoint, in
/// attempts per second.
pub(super) fn refill(
    warming: &WarmingMembers,
    now: Millis,
    endpoints: &mut EndpointTable,
    warm_rate: f64,
) {
    for id in &warming.ids {
        if let Some(endpoint) = endpoints.get_mut(*id) {
            endpoint.warm_up.refill(now, warm_rate);
        }
    }
}

impl WarmUp {
    /// Refills the tokens up to now, at the rate of a warm endpoint times the endpoint's share of capacity.
    fn refill(&mut self, now: Millis, warm_rate: f64) {
        let elapsed_s = (now - self.refilled_at).max(0.0) / 1000.0;
        let refilled = elapsed_s * warm_rate * self.capacity_share(now).unwrap_or(1.0);
        self.tokens.add_tokens(refilled, MAX_TOKENS);
        self.refilled_at = now;
    }
}

#[cfg(test)]
mod tests;
