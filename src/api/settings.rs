//! What a gateway is configured with when it starts.

use super::Millis;

/// The settings of one gateway. All of them but its index and zone are the same for all gateways of a fleet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Number of gateways in the fleet.
    pub gateway_count: u32,
    /// This gateway's index among them, from 0.
    pub gateway_index: u32,
    /// This gateway's zone.
    pub zone: u32,
    /// Shortest time between two calls of the library.
    pub tick_ms: Millis,
    /// The classes of requests, by index.
    pub classes: Vec<Class>,
    /// The plans of customers, by index.
    pub plans: Vec<Plan>,
    /// The shared counter; `None` where there is none.
    pub counter: Option<CounterSettings>,
    /// Most quota units that one request can cost.
    pub max_units: f64,
    /// True if a request's units are an estimate that the endpoint's response corrects.
    pub settles_units: bool,
    /// What the gateway is permitted to do.
    pub limits: Limits,
    /// What the operators charge for.
    pub prices: Prices,
    /// Figures of the rules that the gateway has to keep.
    pub rules: Rules,
    /// True if the endpoint list has to be polled; false if changes are pushed.
    pub endpoints_polled: bool,
}

/// A class of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Class {
    /// Latency objective: a response within this time has its full value.
    pub latency_objective_ms: Millis,
    /// How long a client waits in all, over its retries.
    pub deadline_ms: Millis,
    /// Share of the value that a response after the latency objective still has, from 0 to 1.
    pub late_weight: f64,
    /// Whether a request may be executed more than once.
    pub idempotency: Idempotency,
}

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Idempotency {
    /// Any number of times.
    Idempotent,
    /// Requests carry an idempotency key, by which some endpoints recognise retries for a time.
    WithKey {
        /// The endpoints that recognise a retry.
        scope: KeyScope,
        /// How long they do so, counted from the first attempt that may have been executed.
        window_ms: Millis,
    },
    /// Once at most.
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

/// A plan: the quota of each of its customers, over all gateways together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Plan {
    /// Units per second at which the quota refills; 0 if the plan has no such quota.
    pub rate: f64,
    /// Most units that the quota holds.
    pub burst: f64,
    /// Most attempts of one customer in flight within the quota; 0 for no limit.
    pub max_concurrency: u32,
    /// Share of its value that a request served beyond the quota has, from 0 to 1.
    pub over_quota_weight: f64,
    /// Share of its value that a request forwarded beyond the quota costs.
    pub over_quota_cost: f64,
    /// Units per second at which the hard ceiling refills; 0 if the plan has none.
    pub ceiling_rate: f64,
    /// Most units that the hard ceiling holds.
    pub ceiling_burst: f64,
}

/// The shared counter.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CounterSettings {
    /// Time after which a call without a reply has timed out.
    pub timeout_ms: Millis,
}

/// What the gateway is permitted to do.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Limits {
    /// Most attempts of one request.
    pub max_attempts: u32,
    /// Two attempts of one request may be in flight at once.
    pub hedging: bool,
    /// Attempts in flight may be cancelled.
    pub cancellation: bool,
    /// Gateways may send each other messages.
    pub gossip: bool,
    /// Rejected clients may be advised when to retry.
    pub retry_after: bool,
    /// Longest such advice that clients follow.
    pub max_retry_after_ms: Millis,
    /// Time after which an idle connection to an endpoint is closed.
    pub idle_timeout_ms: Millis,
    /// Most requests in flight on one connection.
    pub requests_per_connection: u32,
    /// Most connections to endpoints that the gateway may hold; 0 for no limit.
    pub max_connections: u32,
}

/// What the operators charge for, as shares of the value of all requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Prices {
    /// Work of endpoints that led to no response, relative to all work of endpoints.
    pub waste: f64,
    /// One new connection to an endpoint for each request.
    pub handshake: f64,
    /// Requests that ended unserved after their latency objective.
    pub late_failure: f64,
}

/// Figures of the rules that the gateway has to keep.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rules {
    /// Least share of its full capacity that an endpoint starts with, from 0 to 1.
    pub slow_start_min_capacity: f64,
    /// Time after which an endpoint surely has its full capacity.
    pub slow_start_ms: Millis,
    /// How long after a notice of draining or removal a new attempt may still be sent.
    pub drain_grace_ms: Millis,
    /// Multiple of its present capacity that makes an endpoint fail while it warms up.
    pub overload_multiple: f64,
    /// Time over which that multiple is measured.
    pub overload_window_ms: Millis,
}
