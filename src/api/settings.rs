//! The settings that a gateway starts with.

use super::Millis;

/// The settings of one gateway. All gateways of a fleet have the same settings, except for `gateway_index` and `zone`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Number of gateways in the fleet.
    pub gateway_count: u32,
    /// This gateway's index in the fleet, from 0.
    pub gateway_index: u32,
    /// This gateway's zone, an index that all gateways share.
    pub zone: u32,
    /// Shortest time between two calls of the library.
    pub tick_ms: Millis,
    /// The request classes. A request refers to its class by index.
    pub classes: Vec<Class>,
    /// The customer plans. A request refers to its customer's plan by index.
    pub plans: Vec<Plan>,
    /// The shared counter; `None` if the gateways have none or may not call it.
    pub counter: Option<CounterSettings>,
    /// Maximum number of quota units that one request can cost.
    pub max_units: f64,
    /// Whether a request's units are an estimate that is corrected by the endpoint's response.
    pub settles_units: bool,
    /// Limits on what the gateway may do.
    pub limits: Limits,
    /// Prices of wasted work, handshakes and late failures.
    pub prices: Prices,
    /// Parameters of the rules that the gateway must follow.
    pub rules: Rules,
    /// Whether the endpoint list is polled; otherwise changes are pushed.
    pub endpoints_polled: bool,
}

/// A class of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Class {
    /// Latency objective: a response within this time has its full value.
    pub latency_objective_ms: Millis,
    /// Total time that a client waits, including its own retries.
    pub deadline_ms: Millis,
    /// Share of its value that a response after the latency objective keeps, from 0 to 1.
    pub late_value_share: f64,
    /// Whether a request may be executed more than once.
    pub idempotency: Idempotency,
}

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Idempotency {
    /// The request may be executed any number of times.
    Idempotent,
    /// Requests carry an idempotency key, by which some endpoints recognise retries for a limited time.
    WithKey {
        /// The endpoints that recognise a retry.
        scope: KeyScope,
        /// Time for which retries are recognised, counted from the first attempt that may have been executed.
        window_ms: Millis,
    },
    /// The request may be executed at most once.
    #[default]
    NotIdempotent,
}

/// The endpoints that recognise the idempotency key of a request that one of them has executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All endpoints.
    All,
    /// The endpoints of the same zone.
    Zone,
    /// The endpoints of the same cell.
    Cell,
}

/// A customer plan: the quota of each of its customers, summed over all gateways.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Plan {
    /// Rate at which the quota refills, in units per second; 0 if the plan has no quota.
    pub rate: f64,
    /// Capacity of the quota, in units.
    pub burst: f64,
    /// Maximum number of a customer's attempts in flight within the quota; 0 for no limit.
    pub max_concurrency: u32,
    /// Share of its value that a request served beyond the quota keeps, from 0 to 1.
    pub over_quota_value_share: f64,
    /// Cost of forwarding a request beyond the quota, as a share of the request's value.
    pub over_quota_cost: f64,
    /// Rate at which the hard ceiling refills, in units per second; 0 if the plan has no hard ceiling.
    pub ceiling_rate: f64,
    /// Capacity of the hard ceiling, in units.
    pub ceiling_burst: f64,
}

/// Settings of the shared counter.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CounterSettings {
    /// Timeout of a call to the counter.
    pub timeout_ms: Millis,
}

/// Limits on what the gateway may do.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Limits {
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Whether two attempts of a request may be in flight at the same time.
    pub hedging: bool,
    /// Whether attempts in flight may be cancelled.
    pub cancellation: bool,
    /// Whether gateways may send each other gossip messages.
    pub gossip: bool,
    /// Whether rejected clients may be told when to retry (Retry-After).
    pub retry_after: bool,
    /// Longest Retry-After time that clients respect.
    pub max_retry_after_ms: Millis,
    /// Time after which an idle connection to an endpoint is closed.
    pub idle_timeout_ms: Millis,
    /// Maximum number of requests in flight on one connection to an endpoint.
    pub requests_per_connection: u32,
    /// Maximum number of connections to endpoints that the gateway may hold open; 0 for no limit.
    pub max_connections: u32,
}

/// Prices that the operators set, as shares of the value of all requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Prices {
    /// Price of endpoint work that led to no response, relative to all endpoint work.
    pub waste: f64,
    /// Price of opening one new connection to an endpoint for each request.
    pub handshake: f64,
    /// Price of requests that ended unserved after their latency objective.
    pub late_failure: f64,
}

/// Parameters of the rules that the gateway must follow.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rules {
    /// Minimum share of its full capacity that an endpoint starts with, from 0 to 1.
    pub slow_start_min_capacity: f64,
    /// Time after its start by which an endpoint has reached its full capacity.
    pub slow_start_ms: Millis,
    /// Time after a notice of draining or removal during which new attempts may still be sent.
    pub drain_grace_ms: Millis,
    /// Load that makes an endpoint fail while it warms up, as a multiple of its current capacity.
    pub overload_multiple: f64,
    /// Time over which the load is compared to `overload_multiple`.
    pub overload_window_ms: Millis,
}
