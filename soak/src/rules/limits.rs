//! The parameters of the rules.

use std::time::Duration;

/// The parameters of the rules. The configuration of the gateways has the same values, but not the capacity.
#[derive(Clone, Copy, Debug)]
pub struct RuleLimits {
    /// Time after the notice of draining in which an endpoint may still get attempts.
    pub drain_grace: Duration,
    /// Time for which endpoints remember an idempotency key.
    pub key_window: Duration,
    /// Length of the sliding window in which the attempts at an endpoint that is warming up are counted.
    pub overload_window: Duration,
    /// Capacity of a warm endpoint, in requests per second.
    pub capacity_per_s: f64,
    /// Share of `capacity_per_s` that an endpoint has when it starts.
    pub initial_share: f64,
    /// Time from the start of an endpoint until it is warm.
    pub warm_up: Duration,
    /// Multiple of the current capacity of an endpoint above which the endpoint is overloaded.
    pub overload_multiple: f64,
}

/// The parameters that all runs use.
pub const LIMITS: RuleLimits = RuleLimits {
    drain_grace: Duration::from_secs(2),
    key_window: Duration::from_secs(1),
    overload_window: Duration::from_millis(1500),
    capacity_per_s: 40.0,
    initial_share: 0.16,
    warm_up: Duration::from_secs(8),
    overload_multiple: 4.0,
};
