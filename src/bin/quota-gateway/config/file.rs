//! The configuration file as it is written: its fields have the names of the JSON keys.
#![expect(
    dead_code,
    reason = "every key is checked, whether or not the gateway uses its value"
)]

use crate::discovery::list::EndpointList;
use serde::Deserialize;
use std::net::SocketAddr;

/// The complete file. Keys that are not named here are ignored.
#[derive(Deserialize)]
pub struct WireConfig {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The discovery service, or its agent on this machine.
    pub discovery: SocketAddr,
    /// Seed of all random choices, in hexadecimal.
    pub seed: String,
    pub limits: WireMachineLimits,
    /// Where gossip from other gateways arrives.
    pub peer_listen: Option<SocketAddr>,
    /// The gossip addresses of all gateways, this one included, by position.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// The address that reaches all other gateways at once.
    pub peers_all: Option<SocketAddr>,
    /// The shared counter.
    pub counter: Option<SocketAddr>,
    /// The last known endpoint list, for use until discovery responds.
    pub known: Option<EndpointList>,
    pub settings: WireSettings,
}

/// What the machine allows the process.
#[derive(Deserialize)]
pub struct WireMachineLimits {
    /// File descriptors.
    pub sockets: usize,
}

/// The site's settings.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct WireSettings {
    /// Number of gateways.
    pub balancers: u32,
    /// This gateway's index among them.
    pub position: u32,
    /// This gateway's zone, an index into `zones`.
    pub locality: u32,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    /// Interval of the periodic housekeeping.
    pub granularity_ms: f64,
    pub membership_mode: WireMembershipMode,
    /// Request classes.
    pub categories: Vec<WireClass>,
    /// Customer plans.
    pub tiers_of_service: Vec<WirePlan>,
    pub domain: WireDomain,
    pub limits: WireLimits,
    pub penalties: WirePenalties,
    pub rules: WireRules,
}

/// How the endpoint list is obtained.
#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum WireMembershipMode {
    /// From an agent on this machine.
    Push,
    /// From a discovery service that all gateways share.
    Ask,
}

/// A request class.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct WireClass {
    pub name: String,
    /// Latency objective.
    pub aim_ms: f64,
    /// Deadline.
    pub give_up_ms: f64,
    /// Priority weight.
    pub value: f64,
    /// Share of the weight that a response after the objective still earns.
    pub late_worth: f64,
    pub effect: WireEffect,
    /// Required for a class with an idempotency key, as is `window_ms`.
    pub group: Option<WireKeyScope>,
    pub window_ms: Option<f64>,
}

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum WireEffect {
    ReadLike,
    IdempotencyKey,
    NonIdempotent,
}

/// The endpoints that recognise an idempotency key which one of them has seen.
#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WireKeyScope {
    All,
    Zone,
    Cell,
}

/// A customer plan.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct WirePlan {
    pub name: String,
    /// Quota in units per second; 0 for none.
    pub refill: f64,
    /// Burst in units.
    pub store_size: f64,
    /// Attempts in flight at once; 0 for no limit.
    pub max_out: u32,
    /// Factor on the priority weight.
    pub pays: f64,
    /// Share of the weight that a request over quota earns.
    pub extra_worth: f64,
    /// Share of the weight that an attempt over quota costs.
    pub excess_cost: f64,
    /// Hard ceiling in units per second; 0 for none.
    pub cap_rate: f64,
    /// Burst of the ceiling in units.
    pub cap_depth: f64,
    /// Units by which the ceiling may be exceeded.
    pub ceiling_slack: f64,
}

/// The quota units, and how gateways share what they know of them.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct WireDomain {
    /// Whether the shared counter may be called.
    pub may_count: bool,
    pub counter_timeout_ms: f64,
    /// Price of a call to the counter.
    pub count_fee: f64,
    /// Most units that one request takes.
    pub units_top: f64,
    /// Whether responses correct the units of their requests.
    pub trued_up: bool,
    /// Most gossip messages processed per second.
    pub peer_intake: f64,
}

/// What the site permits.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct WireLimits {
    /// Attempts per request.
    pub try_limit: u32,
    /// Whether requests may be hedged.
    pub may_duplicate: bool,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Whether endpoints may be health-checked.
    pub probing: bool,
    /// Whether gateways may gossip.
    pub peers: bool,
    /// Whether clients are advised when to retry.
    pub retry_after: bool,
    pub max_retry_after_ms: f64,
    pub connect_timeout_ms: f64,
    /// Idle time after which a connection to an endpoint is closed.
    pub idle_close_ms: f64,
    /// Attempts on one connection at once.
    #[serde(default)]
    pub streams_per_conn: u32,
}

/// What the site charges.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct WirePenalties {
    pub cross_zone: f64,
    /// Endpoint work that served no response.
    pub waste: f64,
    /// Health checks.
    pub probe: f64,
    /// Requests that failed after their latency objective.
    pub late_fail: f64,
    /// New connections to endpoints.
    #[serde(default)]
    pub handshake: f64,
}

/// Thresholds and durations of the site's rules.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct WireRules {
    /// How long after its deadline a response still counts.
    pub answer_slack_ms: f64,
    /// Share of its capacity with which an endpoint starts.
    pub cold_from: f64,
    /// Longest slow start.
    pub warm_up_ms: f64,
    /// How long an endpoint may still get requests once it is draining.
    pub drain_grace_ms: f64,
    /// An endpoint warming up that gets more than this multiple of its capacity ...
    pub fall_multiple: f64,
    /// ... for this long fails.
    pub fall_ms: f64,
    /// Longest time between two polls of the endpoint list.
    pub ask_within_ms: f64,
}
