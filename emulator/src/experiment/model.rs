//! The form of an experiment's file.
//!
//! Times are in the unit that their name ends with. Keys that were renamed are still read under their former name.

use serde::Deserialize;

/// One experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Its name, for the report.
    pub name: String,
    /// Length on the event clock.
    pub seconds: f64,
    /// The report counts from here on; before, gateways warm up and connections open.
    #[serde(default, alias = "count_from_s")]
    pub measure_from_s: f64,
    /// Regions, zones and network delays.
    pub topology: Topology,
    /// The gateways.
    pub gateways: GatewayModel,
    /// The endpoints that requests are forwarded to.
    #[serde(alias = "servers", alias = "backends")]
    pub endpoints: EndpointModel,
    /// The shared counter; absent where there is none.
    pub counter: Option<CounterModel>,
    /// How the endpoint list reaches the gateways.
    pub discovery: DiscoveryModel,
    /// Clients and customers.
    pub load: LoadModel,
    /// The classes of requests.
    pub classes: Vec<ClassModel>,
    /// The plans of customers.
    pub plans: Vec<PlanModel>,
    /// Figures of the rules that gateways have to keep.
    pub rules: RulesModel,
    /// Faults to inject.
    #[serde(default, alias = "troubles")]
    pub faults: Vec<Fault>,
}

/// Regions, zones and the network delays between them.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Topology {
    /// Number of regions.
    pub regions: u32,
    /// Number of zones in each region.
    pub zones_per_region: u32,
    /// One-way delay within a zone.
    #[serde(alias = "zone_ms")]
    pub same_zone_ms: f64,
    /// One-way delay between two zones of a region.
    #[serde(alias = "region_ms")]
    pub same_region_ms: f64,
    /// One-way delay between two regions.
    #[serde(alias = "far_ms")]
    pub cross_region_ms: f64,
}

impl Topology {
    /// Number of zones in all regions together.
    #[must_use]
    pub fn zones(&self) -> u32 {
        self.regions * self.zones_per_region
    }
}

/// The gateways.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewayModel {
    /// Number of gateways.
    pub count: u32,
    /// Share of them that get more requests than the others.
    #[serde(default)]
    pub hot_share: f64,
    /// How many times as many requests those get.
    #[serde(default = "default_hot_multiplier", alias = "hot_times")]
    pub hot_multiplier: f64,
    /// Most connections to endpoints that each gateway may hold.
    #[serde(default = "default_max_connections", alias = "connections")]
    pub max_connections: u32,
}

fn default_hot_multiplier() -> f64 {
    1.0
}

/// As the program has it: two in five of 1,024 descriptors, less those that it reserves.
fn default_max_connections() -> u32 {
    396
}

/// The endpoints that requests are forwarded to.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointModel {
    /// Number of endpoints.
    pub count: u32,
    /// Requests that each works on at once.
    pub slots: u32,
    /// Mean service time of a request at full capacity.
    #[serde(alias = "work_ms")]
    pub service_ms: f64,
    /// Standard deviation of the service time's logarithm.
    #[serde(alias = "work_sigma")]
    pub service_sigma: f64,
    /// Most requests that may wait at each.
    #[serde(alias = "queue")]
    pub max_queue: u32,
    /// Most connections that each accepts.
    #[serde(alias = "connections")]
    pub max_connections: u32,
    /// What a new connection adds to its first request, beside the network delay.
    pub handshake_ms: f64,
}

/// The shared counter.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CounterModel {
    /// Number of shards that keys are spread over.
    #[serde(alias = "parts")]
    pub shards: u32,
    /// Calls per second that each shard serves.
    pub calls_per_s: f64,
    /// Most calls that may wait at each shard.
    #[serde(alias = "queue")]
    pub max_queue: u32,
    /// Time after which a gateway gives up a call.
    pub timeout_ms: f64,
    /// The zone where the counter stands, numbered over all regions.
    pub zone: u32,
}

/// How the endpoint list reaches the agent beside each gateway.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DiscoveryModel {
    /// Shortest and longest time until an agent has a change.
    #[serde(alias = "notice_ms")]
    pub propagation_ms: [f64; 2],
    /// Shortest and longest time until discovery notices that an endpoint has become unreachable.
    #[serde(alias = "vanished_ms")]
    pub failure_detection_ms: [f64; 2],
}

/// Clients and customers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadModel {
    /// Requests per second over all gateways, without clients' retries.
    pub requests_per_s: f64,
    /// Number of customers; requests are spread over them by Zipf's law.
    pub customers: u64,
    /// Exponent of that law; 0 spreads requests evenly.
    #[serde(alias = "zipf")]
    pub zipf_exponent: f64,
    /// Number of adjacent gateways that a customer's requests arrive at.
    #[serde(alias = "spread")]
    pub gateway_set_size: u32,
    /// Share of rejected or failed requests that the client retries.
    #[serde(default)]
    pub retry_share: f64,
    /// Mean delay before it does, where it got no advice.
    #[serde(default = "default_retry_delay_ms", alias = "retry_ms")]
    pub retry_delay_ms: f64,
    /// Share of clients that disconnect before they have a response.
    #[serde(default, alias = "leave_share")]
    pub disconnect_share: f64,
}

fn default_retry_delay_ms() -> f64 {
    500.0
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassModel {
    /// Its name.
    pub name: String,
    /// Its share of the requests; shares are relative to their sum.
    pub share: f64,
    /// Whether its requests may be executed more than once.
    #[serde(alias = "effect")]
    pub idempotency: IdempotencyModel,
    /// A response within this time counts as served on time.
    #[serde(alias = "aim_ms")]
    pub latency_objective_ms: f64,
    /// How long a client waits for its response.
    pub deadline_ms: f64,
}

/// Whether requests may be executed more than once.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum IdempotencyModel {
    /// Any number of times.
    #[serde(alias = "safe")]
    Idempotent,
    /// The endpoints of one zone recognise the idempotency key of a retry.
    #[serde(alias = "keyed-zone")]
    KeyPerZone,
    /// All endpoints recognise the idempotency key of a retry.
    #[serde(alias = "keyed-all")]
    KeyEverywhere,
    /// Once at most.
    #[serde(alias = "unsafe")]
    NotIdempotent,
}

/// A plan: the quota of each of its customers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanModel {
    /// Its name.
    pub name: String,
    /// Its share of the customers; shares are relative to their sum.
    pub share: f64,
    /// Units per second; 0 for no quota.
    pub rate: f64,
    /// Most units that the quota holds.
    pub burst: f64,
}

/// Figures of the rules that gateways have to keep.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RulesModel {
    /// Most attempts of one request.
    pub max_attempts: u32,
    /// Share of its full capacity that an endpoint starts with.
    #[serde(alias = "cold_from")]
    pub slow_start_min_capacity: f64,
    /// Time after which an endpoint has its full capacity.
    #[serde(alias = "warm_up_ms")]
    pub slow_start_ms: f64,
    /// How long after a notice of draining a new attempt may still be sent.
    pub drain_grace_ms: f64,
    /// Multiple of its present capacity that makes an endpoint fail while it warms up.
    #[serde(alias = "fall_multiple")]
    pub overload_multiple: f64,
    /// Time over which that multiple is measured.
    #[serde(alias = "fall_ms")]
    pub overload_window_ms: f64,
    /// Time after which a gateway gives up opening a connection.
    #[serde(alias = "connect_ms")]
    pub connect_timeout_ms: f64,
    /// Time after which an idle connection is closed.
    #[serde(alias = "idle_close_ms")]
    pub idle_timeout_ms: f64,
    /// How long endpoints recognise an idempotency key.
    #[serde(alias = "window_ms")]
    pub idempotency_window_ms: f64,
    /// Price of one new connection for each request.
    pub handshake_price: f64,
}

/// A fault to inject. Each begins at `start_s` and lasts `duration_s`.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "what", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Fault {
    /// All endpoints of a zone become unreachable and come back in slow start.
    #[serde(alias = "zone-loss")]
    ZoneOutage {
        /// When it begins.
        #[serde(alias = "at_s")]
        start_s: f64,
        /// How long it lasts.
        #[serde(alias = "for_s")]
        duration_s: f64,
        /// The zone, from 0.
        zone: u32,
    },
    /// No bytes pass between a region and the others.
    #[serde(alias = "region-cut")]
    RegionPartition {
        /// When it begins.
        #[serde(alias = "at_s")]
        start_s: f64,
        /// How long it lasts.
        #[serde(alias = "for_s")]
        duration_s: f64,
        /// The region, from 0.
        region: u32,
    },
    /// Discovery distributes nothing; it distributes what was missed when it is back.
    #[serde(alias = "discovery-down")]
    DiscoveryOutage {
        /// When it begins.
        #[serde(alias = "at_s")]
        start_s: f64,
        /// How long it lasts.
        #[serde(alias = "for_s")]
        duration_s: f64,
    },
    /// The counter answers no call and comes back empty.
    #[serde(alias = "counter-down")]
    CounterOutage {
        /// When it begins.
        #[serde(alias = "at_s")]
        start_s: f64,
        /// How long it lasts.
        #[serde(alias = "for_s")]
        duration_s: f64,
    },
    /// All gateways restart one after another, evenly over the time.
    #[serde(alias = "gateway-release")]
    GatewayRollout {
        /// When it begins.
        #[serde(alias = "at_s")]
        start_s: f64,
        /// How long it lasts.
        #[serde(alias = "for_s")]
        duration_s: f64,
    },
    /// A share of the endpoints drain and are replaced by new ones, in steps over the time.
    #[serde(alias = "server-rollout", alias = "backend-release")]
    EndpointRollout {
        /// When it begins.
        #[serde(alias = "at_s")]
        start_s: f64,
        /// How long it lasts.
        #[serde(alias = "for_s")]
        duration_s: f64,
        /// The share to replace.
        share: f64,
    },
}

impl Fault {
    /// When the fault begins, in seconds.
    #[must_use]
    pub fn start_s(&self) -> f64 {
        match *self {
            Fault::ZoneOutage { start_s, .. }
            | Fault::RegionPartition { start_s, .. }
            | Fault::DiscoveryOutage { start_s, .. }
            | Fault::CounterOutage { start_s, .. }
            | Fault::GatewayRollout { start_s, .. }
            | Fault::EndpointRollout { start_s, .. } => start_s,
        }
    }

    /// How long the fault lasts, in seconds.
    #[must_use]
    pub fn duration_s(&self) -> f64 {
        match *self {
            Fault::ZoneOutage { duration_s, .. }
            | Fault::RegionPartition { duration_s, .. }
            | Fault::DiscoveryOutage { duration_s, .. }
            | Fault::CounterOutage { duration_s, .. }
            | Fault::GatewayRollout { duration_s, .. }
            | Fault::EndpointRollout { duration_s, .. } => duration_s,
        }
    }
}
