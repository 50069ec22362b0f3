//! The figures of the rules.

use std::time::Duration;

/// Figures of the rules, as the gateways get them.
#[derive(Clone, Copy, Debug)]
pub struct RuleLimits {
    /// Grace after the notice of draining.
    pub drain_grace: Duration,
    /// How long endpoints know an idempotency key.
    pub key_window: Duration,
    /// The span of time in which the attempts at an endpoint that is warming up are counted.
    pub overload_window: Duration,
    /// Requests a second of a warm endpoint.
    pub capacity_per_s: f64,
    /// Share of this capacity that an endpoint has when it starts.
    pub initial_share: f64,
    /// Time until an endpoint is warm.
    pub warm_up: Duration,
    /// Multiple of its present capacity that overloads an endpoint.
    pub overload_multiple: f64,
}

/// The figures of all runs.
pub const LIMITS: RuleLimits = RuleLimits {
    drain_grace: Duration::from_secs(2),
    key_window: Duration::from_secs(1),
    overload_window: Duration::from_millis(1500),
    capacity_per_s: 40.0,
    initial_share: 0.16,
    warm_up: Duration::from_secs(8),
    overload_multiple: 4.0,
};
