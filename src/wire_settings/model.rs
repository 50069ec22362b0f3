//! The form of the settings. Each field has the name of the concept; `rename` has the key.
//!
//! Keys whose fields begin with an underscore are checked for presence and type, and their values are not used: the
//! gateway reads no prices of what it never does, and weighs classes and plans by shares alone.

use crate::api::Millis;
use serde::{Deserialize, Deserializer};

/// The settings of one gateway, before they are checked.
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
    /// The names of the zones; elsewhere a zone is an index into them.
    #[serde(rename = "zones")]
    pub zone_names: Vec<String>,
    /// This gateway's zone.
    #[serde(rename = "locality")]
    pub(super) zone: u32,
    /// Number of gateways in the fleet.
    #[serde(rename = "balancers")]
    pub(super) gateway_count: u32,
    /// This gateway's index among them, from 0.
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
    pub(super) endpoint_list: WireEndpointListMode,
}

/// How the endpoint list is obtained.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
pub(super) enum WireEndpointListMode {
    /// Changes are pushed by an agent on the gateway's machine.
    #[serde(rename = "push")]
    Pushed,
    /// The list is polled from a service that all gateways share.
    #[serde(rename = "ask")]
    Polled,
}

/// The keys of a class that have no meaning for a class of this `effect`. The simulator writes them for every class and
/// may give them any text; whoever reads its text passes them over.
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
    /// The endpoints that recognise an idempotency key; required with one, as is `key_window_ms`.
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
    /// Share of the weight that a response after the latency objective still earns, from 0 to 1.
    #[serde(rename = "late-worth")]
    pub(super) late_weight: f64,
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
    /// Quota in units per second; 0 for none.
    #[serde(rename = "refill")]
    pub(super) rate: f64,
    /// Most units that the quota holds.
    #[serde(rename = "store-size")]
    pub(super) burst: f64,
    /// Most attempts in flight within the quota; 0 for no limit.
    #[serde(rename = "max-out")]
    pub(super) max_concurrency: u32,
    #[serde(rename = "pays")]
    _weight_multiplier: f64,
    /// Share of its value that a request served beyond the quota earns.
    #[serde(rename = "extra-worth")]
    pub(super) over_quota_weight: f64,
    /// Share of its value that a request forwarded beyond the quota costs.
    #[serde(rename = "excess-cost")]
    pub(super) over_quota_cost: f64,
    /// Hard ceiling in units per second; 0 for none.
    #[serde(rename = "cap-rate")]
    pub(super) ceiling_rate: f64,
    /// Most units that the hard ceiling holds.
    #[serde(rename = "cap-depth")]
    pub(super) ceiling_burst: f64,
    #[serde(rename = "ceiling-slack")]
    _ceiling_slack: f64,
}

/// The quota units, and the counter that gateways share for them.
#[derive(Debug, Deserialize)]
pub(super) struct WireQuota {
    /// Whether the shared counter may be called.
    #[serde(rename = "may-count")]
    pub(super) counter_allowed: bool,
    /// Required where the counter may be called, as is its price; the file always has both.
    #[serde(rename = "count-fee", deserialize_with = "optional_number")]
    pub(super) counter_call_price: Option<f64>,
    #[serde(rename = "counter-timeout-ms", deserialize_with = "optional_number")]
    pub(super) counter_timeout_ms: Option<Millis>,
    /// Most units that one request can cost.
    #[serde(rename = "units-top")]
    pub(super) max_units: f64,
    /// Whether responses correct the units of their requests.
    #[serde(rename = "trued-up")]
    pub(super) settles_units: bool,
}

/// A number of a key that JSON has to have and the simulator's wire may leave out.
fn optional_number<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<f64>, D::Error> {
    Option::deserialize(deserializer)
}

/// What the site permits.
#[derive(Debug, Deserialize)]
pub(super) struct WireLimits {
    /// Attempts per request.
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
    /// Attempts on one connection at once. JSON may leave it out.
    #[serde(rename = "streams-per-conn", default)]
    pub(super) requests_per_connection: u32,
}

/// What the site charges for.
#[derive(Debug, Deserialize)]
pub(super) struct WirePrices {
    #[serde(rename = "cross-zone")]
    _cross_zone: f64,
    /// New connections to endpoints. JSON may leave it out.
    #[serde(default)]
    pub(super) handshake: f64,
    /// Work of endpoints that led to no response.
    pub(super) waste: f64,
    #[serde(rename = "probe")]
    _health_check: f64,
    /// Requests that ended unserved after their latency objective.
    #[serde(rename = "late-fail")]
    pub(super) late_failure: f64,
}

/// Figures of the site's rules.
#[derive(Debug, Deserialize)]
pub(super) struct WireRules {
    #[serde(rename = "answer-slack-ms")]
    _response_slack_ms: Millis,
    /// Least share of its full capacity that an endpoint starts with.
    #[serde(rename = "cold-from")]
    pub(super) slow_start_min_capacity: f64,
    /// Time after which an endpoint has its full capacity.
    #[serde(rename = "warm-up-ms")]
    pub(super) slow_start_ms: Millis,
    /// How long after a notice of draining an attempt may still be sent.
    #[serde(rename = "drain-grace-ms")]
    pub(super) drain_grace_ms: Millis,
    /// Multiple of its present capacity that makes an endpoint fail while it warms up.
    #[serde(rename = "fall-multiple")]
    pub(super) overload_multiple: f64,
    /// Time over which that multiple is measured.
    #[serde(rename = "fall-ms")]
    pub(super) overload_window_ms: Millis,
    #[serde(rename = "ask-within-ms")]
    _max_poll_interval_ms: Millis,
}
