//! The structure of the serialized settings. Fields are named by the terms of the code, `rename` gives their keys.
//!
//! Keys whose fields begin with an underscore must be present with the right type, but their values are not used: the
//! gateway needs no prices of actions that it never takes, and weights classes and plans only by shares.

use crate::api::Millis;
use serde::{Deserialize, Deserializer};

/// The settings of one gateway, not validated yet.
#[derive(Debug, Deserialize)]
pub struct WireSettings {
    /// Request classes, by index.
    #[serde(rename = "categories")]
    pub(super) classes: Vec<WireClass>,
    /// Customer plans, by index.
    #[serde(rename = "tiers-of-service")]
    pub(super) plans: Vec<WirePlan>,
    #[serde(rename = "domain")]
    pub(super) quota: WireQuota,
    /// The names of the zones. Other settings refer to a zone by its index in this list.
    #[serde(rename = "zones")]
    pub zone_names: Vec<String>,
    /// This gateway's zone.
    #[serde(rename = "locality")]
    pub(super) zone: u32,
    /// Number of gateways in the fleet.
    #[serde(rename = "balancers")]
    pub(super) gateway_count: u32,
    /// This gateway's index in the fleet, from 0.
    #[serde(rename = "position")]
    pub(super) gateway_index: u32,
    /// Shortest time between two calls of the library.
    #[serde(rename = "granularity-ms")]
    pub(super) tick_ms: Millis,
    pub(super) limits: WireLimits,
    #[serde(rename = "penalties")]
    pub(super) prices: WirePrices,
    pub(super) rules: WireRules,
    #[serde(rename = "membership-mode")]
    pub(super) endpoint_list_mode: WireEndpointListMode,
}

/// The way in which the gateway obtains the endpoint list.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
pub(super) enum WireEndpointListMode {
    /// Changes are pushed by an agent on the gateway's machine.
    #[serde(rename = "push")]
    Pushed,
    /// The list is polled from a service that all gateways share.
    #[serde(rename = "ask")]
    Polled,
}

/// The keys that have no meaning for a class with this `effect`. The simulator writes these keys for every class, with
/// arbitrary values, so that a reader of the simulator's settings must ignore them.
#[must_use]
pub fn unused_class_keys(effect: &str) -> &'static [&'static str] {
    match effect {
        "idempotency_key" => &[],
        _ => &["group", "window-ms"],
    }
}

/// A request class.
#[derive(Debug, Deserialize)]
pub(super) struct WireClass {
    #[serde(rename = "effect")]
    pub(super) idempotency: WireIdempotency,
    /// The endpoints that recognise an idempotency key. The scope and `key_window_ms` are required for classes with an
    /// idempotency key.
    #[serde(rename = "group")]
    pub(super) key_scope: Option<WireKeyScope>,
    #[serde(rename = "window-ms")]
    pub(super) key_window_ms: Option<Millis>,
    #[serde(rename = "aim-ms")]
    pub(super) latency_objective_ms: Millis,
    #[serde(rename = "give-up-ms")]
    pub(super) deadline_ms: Millis,
    #[serde(rename = "value")]
    _priority_weight: f64,
    /// Share of its value that a response after the latency objective keeps, from 0 to 1.
    #[serde(rename = "late-worth")]
    pub(super) late_value_share: f64,
}

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
pub(super) enum WireIdempotency {
    #[serde(rename = "read_like")]
    Idempotent,
    #[serde(rename = "idempotency_key")]
    WithKey,
    #[serde(rename = "non_idempotent")]
    NotIdempotent,
}

/// The endpoints that recognise the idempotency key of a request that one of them has executed.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub(super) enum WireKeyScope {
    All,
    Zone,
    Cell,
}

/// A customer plan.
#[derive(Debug, Deserialize)]
pub(super) struct WirePlan {
    /// Rate of the quota in units per second; 0 for no quota.
    #[serde(rename = "refill")]
    pub(super) rate: f64,
    /// Capacity of the quota, in units.
    #[serde(rename = "store-size")]
    pub(super) burst: f64,
    /// Maximum number of attempts in flight within the quota; 0 for no limit.
    #[serde(rename = "max-out")]
    pub(super) max_concurrency: u32,
    #[serde(rename = "pays")]
    _weight_multiplier: f64,
    /// Share of its value that a request served beyond the quota keeps.
    #[serde(rename = "extra-worth")]
    pub(super) over_quota_value_share: f64,
    /// Cost of forwarding a request beyond the quota, as a share of the request's value.
    #[serde(rename = "excess-cost")]
    pub(super) over_quota_cost: f64,
    /// Rate of the hard ceiling in units per second; 0 for no hard ceiling.
    #[serde(rename = "cap-rate")]
    pub(super) ceiling_rate: f64,
    /// Capacity of the hard ceiling, in units.
    #[serde(rename = "cap-depth")]
    pub(super) ceiling_burst: f64,
    #[serde(rename = "ceiling-slack")]
    _ceiling_slack: f64,
}

/// Settings of quota units and of the shared counter.
#[derive(Debug, Deserialize)]
pub(super) struct WireQuota {
    /// Whether the shared counter may be called.
    #[serde(rename = "may-count")]
    pub(super) counter_allowed: bool,
    /// Price of a call. The price and the timeout are required if the counter may be called; JSON always has both keys.
    #[serde(rename = "count-fee", deserialize_with = "optional_number")]
    pub(super) counter_call_price: Option<f64>,
    #[serde(rename = "counter-timeout-ms", deserialize_with = "optional_number")]
    pub(super) counter_timeout_ms: Option<Millis>,
    /// Maximum number of units that one request can cost.
    #[serde(rename = "units-top")]
    pub(super) max_units: f64,
    /// Whether a request's units are an estimate that is corrected by the response.
    #[serde(rename = "trued-up")]
    pub(super) settles_units: bool,
}

/// Reads a number whose key is required in JSON and may be absent in the simulator's settings text.
fn optional_number<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<f64>, D::Error> {
    Option::deserialize(deserializer)
}

/// Limits on what the gateway may do.
#[derive(Debug, Deserialize)]
pub(super) struct WireLimits {
    /// Maximum number of attempts per request.
    #[serde(rename = "try-limit")]
    pub(super) max_attempts: u32,
    #[serde(rename = "may-duplicate")]
    pub(super) hedging: bool,
    #[serde(rename = "cancel")]
    pub(super) cancellation: bool,
    #[serde(rename = "probing")]
    _health_checks: bool,
    #[serde(rename = "peers")]
    pub(super) gossip: bool,
    #[serde(rename = "retry-after")]
    pub(super) retry_after: bool,
    #[serde(rename = "max-retry-after-ms")]
    pub(super) max_retry_after_ms: Millis,
    /// Idle time after which a connection to an endpoint is closed.
    #[serde(rename = "idle-close-ms")]
    pub(super) idle_timeout_ms: Millis,
    /// Maximum number of attempts in flight on one connection. The key is optional in JSON.
    #[serde(rename = "streams-per-conn", default)]
    pub(super) requests_per_connection: u32,
}

/// Prices, as shares of the value of all requests.
#[derive(Debug, Deserialize)]
pub(super) struct WirePrices {
    #[serde(rename = "cross-zone")]
    _cross_zone: f64,
    /// Price of new connections to endpoints. The key is optional in JSON.
    #[serde(default)]
    pub(super) handshake: f64,
    /// Price of endpoint work that produced no response.
    pub(super) waste: f64,
    #[serde(rename = "probe")]
    _health_check: f64,
    /// Price of requests that ended unserved after their latency objective.
    #[serde(rename = "late-fail")]
    pub(super) late_failure: f64,
}

/// Parameters of the rules that the gateway must follow.
#[derive(Debug, Deserialize)]
pub(super) struct WireRules {
    #[serde(rename = "answer-slack-ms")]
    _response_slack_ms: Millis,
    /// Minimum share of its full capacity that an endpoint starts with.
    #[serde(rename = "cold-from")]
    pub(super) slow_start_min_capacity: f64,
    /// Time after its start by which an endpoint has reached its full capacity.
    #[serde(rename = "warm-up-ms")]
    pub(super) slow_start_ms: Millis,
    /// Time after a notice of draining or removal during which new attempts may still be sent.
    #[serde(rename = "drain-grace-ms")]
    pub(super) drain_grace_ms: Millis,
    /// Load that makes an endpoint fail while it warms up, as a multiple of its current capacity.
    #[serde(rename = "fall-multiple")]
    pub(super) overload_multiple: f64,
    /// Time over which the load is compared to `overload_multiple`.
    #[serde(rename = "fall-ms")]
    pub(super) overload_window_ms: Millis,
    #[serde(rename = "ask-within-ms")]
    _max_poll_interval_ms: Millis,
}
