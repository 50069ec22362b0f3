//! Slow start: an endpoint that has just started is sent no more than it bears while it is warming up.

use crate::api::{Endpoint, Millis, Rules};
use crate::primitives::ramp::LinearRamp;

/// Least share of its capacity that an endpoint is taken to start with.
const MIN_CAPACITY_SHARE: f64 = 0.05;

/// The warm-up of an endpoint that started recently, as the list says, or that is back after its removal. A
/// start that lies ahead, as the clocks of two machines may differ, was now at the latest.
pub(super) fn ramp(
    now: Millis,
    rules: &Rules,
    entry: &Endpoint,
    is_back: bool,
) -> Option<LinearRamp> {
    let is_recent = entry.started_at > 0.0 && now - entry.started_at < rules.slow_start_ms;
    let start = is_recent
        .then_some(entry.started_at.min(now))
        .or(is_back.then_some(now))?;
    let initial_share = rules.slow_start_min_capacity.clamp(MIN_CAPACITY_SHARE, 1.0);
    Some(LinearRamp {
        start,
        duration_ms: rules.slow_start_ms,
        initial_share,
    })
}

/// Rate of attempts to an endpoint of full capacity, if all that the gateway uses together have `capacity`.
/// Half the multiple that overloads is the most: gateways differ in load, and shall stay below it together.
pub(super) fn rate_per_endpoint(rules: &Rules, request_rate: f64, capacity: f64) -> f64 {
    request_rate / capacity.max(1.0) * (rules.overload_multiple / 2.0).min(1.0)
}

#[cfg(test)]
mod tests;
