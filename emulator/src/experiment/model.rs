//! Structure of an experiment's file.
//!
//! The suffix of a time's name is its unit. Renamed keys can still be read under their former names.

use serde::Deserialize;

/// One experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Name of the experiment, which the report repeats.
    pub name: String,
    /// Length of the experiment on the event clock.
    pub seconds: f64,
    /// Start of the measured part. Before it, the gateways warm up and open connections.
    #[serde(default, alias = "count_from_s")]
    pub measure_from_s: f64,
    /// Regions, zones and network delays.
    pub topology: Topology,
    /// Parameters of the gateways.
    pub gateways: GatewayModel,
    /// Parameters of the endpoints that requests are forwarded to.
    #[serde(alias = "servers", alias = "backends")]
    pub endpoints: EndpointModel,
    /// Parameters of the shared counter; `None` if there is none.
    pub counter: Option<CounterModel>,
    /// Delays of the distribution of the endpoint list.
    pub discovery: DiscoveryModel,
    /// Parameters of the clients and customers.
    pub load: LoadModel,
    /// Classes of requests.
    pub classes: Vec<ClassModel>,
    /// Plans of customers.
    pub plans: Vec<PlanModel>,
    /// Parameters of the rules that gateways must obey.
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

/// Parameters of the gateways.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewayModel {
    /// Number of gateways.
    pub count: u32,
    /// Share of the gateways that are the first of more customers' sets than the others (hot gateways).
    #[serde(default)]
    pub hot_share: f64,
    /// Probability that a customer's set begins with a given hot gateway, as a multiple of the probability for another
    /// gateway. The requests are multiplied by as much only if `load.gateway_set_size` is 1: a larger set spreads them
    /// over the gateways that follow.
    #[serde(default = "default_hot_multiplier", alias = "hot_times")]
    pub hot_multiplier: f64,
    /// Maximum number of connections from each gateway to endpoints.
    #[serde(default = "default_max_connections", alias = "connections")]
    pub max_connections: u32,
}

fn default_hot_multiplier() -> f64 {
    1.0
}

/// The limit of the gateway's program with 1,024 descriptors: two fifths of the descriptors that are not reserved.
fn default_max_connections() -> u32 {
    396
}

/// Parameters of the endpoints that requests are forwarded to.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointModel {
    /// Number of endpoints.
    pub count: u32,
    /// Number of requests that each endpoint serves concurrently.
    pub slots: u32,
    /// Mean service time of a request at full capacity.
    #[serde(alias = "work_ms")]
    pub service_ms: f64,
    /// Standard deviation of the service time's logarithm.
    #[serde(alias = "work_sigma")]
    pub service_sigma: f64,
    /// Maximum number of requests queued at each endpoint.
    #[serde(alias = "queue")]
    pub max_queue: u32,
    /// Maximum number of connections that each endpoint accepts.
    #[serde(alias = "connections")]
    pub max_connections: u32,
    /// Time that a new connection adds to its first request, in addition to the network delay.
    pub handshake_ms: f64,
}

/// Parameters of the shared counter.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CounterModel {
    /// Number of shards that keys are spread over.
    #[serde(alias = "parts")]
    pub shards: u32,
    /// Calls per second that each shard serves.
    pub calls_per_s: f64,
    /// Maximum number of calls queued at each shard.
    #[serde(alias = "queue")]
    pub max_queue: u32,
    /// Timeout of a gateway's call.
    pub timeout_ms: f64,
    /// Zone of the counter, numbered over all regions.
    pub zone: u32,
}

/// Delays of the distribution of the endpoint list to the agent of each gateway.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DiscoveryModel {
    /// Minimum and maximum time until an agent receives a change.
    #[serde(alias = "notice_ms")]
    pub propagation_ms: [f64; 2],
    /// Minimum and maximum time until discovery detects that an endpoint has become unreachable.
    #[serde(alias = "vanished_ms")]
    pub failure_detection_ms: [f64; 2],
}

/// Parameters of the clients and customers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadModel {
    /// Rate of requests to all gateways, without clients' retries.
    pub requests_per_s: f64,
    /// Number of customers. Requests are distributed over them according to Zipf's law.
    pub customers: u64,
    /// Exponent of Zipf's law; 0 for a uniform distribution.
    #[serde(alias = "zipf")]
    pub zipf_exponent: f64,
    /// Number of gateways, with consecutive indices, that a customer's requests arrive at.
    #[serde(alias = "spread")]
    pub gateway_set_size: u32,
    /// Share of the rejected or failed requests that the client retries.
    #[serde(default)]
    pub retry_share: f64,
    /// Mean delay before a client's retry. A longer delay advised by the gateway takes precedence.
    #[serde(default = "default_retry_delay_ms", alias = "retry_ms")]
    pub retry_delay_ms: f64,
    /// Share of the requests whose client disconnects at a random time before the deadline, unless the request has been
    /// answered before that time.
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
    /// Name of the class.
    pub name: String,
    /// Share of the requests, relative to the sum of the shares of all classes.
    pub share: f64,
    /// Whether requests of the class may be executed more than once.
    #[serde(alias = "effect")]
    pub idempotency: IdempotencyModel,
    /// Time within which a response counts as served on time.
    #[serde(alias = "aim_ms")]
    pub latency_objective_ms: f64,
    /// Time that a client waits for the response.
    pub deadline_ms: f64,
}

/// Whether requests may be executed more than once.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum IdempotencyModel {
    /// Requests may be executed any number of times.
    #[serde(alias = "safe")]
    Idempotent,
    /// Endpoints of the same zone recognise the idempotency key of a request and do not execute the request again.
    #[serde(alias = "keyed-zone")]
    KeyPerZone,
    /// All endpoints recognise the idempotency key of a request and do not execute the request again.
    #[serde(alias = "keyed-all")]
    KeyEverywhere,
    /// Requests may be executed at most once.
    #[serde(alias = "unsafe")]
    NotIdempotent,
}

/// A plan: the quota of each of its customers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanModel {
    /// Name of the plan.
    pub name: String,
    /// Share of the customers, relative to the sum of the shares of all plans.
    pub share: f64,
    /// Rate at which the quota refills, in units per second; 0 if the plan has no quota.
    pub rate: f64,
    /// Maximum units that the quota holds.
    pub burst: f64,
}

/// Parameters of the rules that gateways must obey.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RulesModel {
    /// Maximum number of attempts of one request.
    pub max_attempts: u32,
    /// Share of its full capacity that an endpoint starts with.
    #[serde(alias = "cold_from")]
    pub slow_start_min_capacity: f64,
    /// Time from an endpoint's start until it has its full capacity.
    #[serde(alias = "warm_up_ms")]
    pub slow_start_ms: f64,
    /// Time after the notice of an endpoint's draining within which a new attempt may still be sent to it.
    pub drain_grace_ms: f64,
    /// Load at which an endpoint in slow start fails, as a multiple of the endpoint's current capacity.
    #[serde(alias = "fall_multiple")]
    pub overload_multiple: f64,
    /// Time window in which the load on an endpoint in slow start is measured.
    #[serde(alias = "fall_ms")]
    pub overload_window_ms: f64,
    /// Timeout of opening a connection.
    #[serde(alias = "connect_ms")]
    pub connect_timeout_ms: f64,
    /// Time after which an endpoint closes an idle connection.
    #[serde(alias = "idle_close_ms")]
    pub idle_timeout_ms: f64,
    /// Time for which endpoints recognise an idempotency key.
    #[serde(alias = "window_ms")]
    pub idempotency_window_ms: f64,
    /// Price of opening one new connection to an endpoint for each request.
    pub handshake_price: f64,
}

/// A fault to inject. Each fault begins at `start_s` and lasts for `duration_s`.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "what", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Fault {
    /// All endpoints of a zone become unreachable. They return in slow start.
    #[serde(alias = "zone-loss")]
    ZoneOutage {
        /// Time at which the fault begins.
        #[serde(alias = "at_s")]
        start_s: f64,
        /// Duration of the fault.
        #[serde(alias = "for_s")]
        duration_s: f64,
        /// Index of the zone over all regions, from 0.
        zone: u32,
    },
    /// A network partition separates a region from the others.
    #[serde(alias = "region-cut")]
    RegionPartition {
        /// Time at which the fault begins.
        #[serde(alias = "at_s")]
        start_s: f64,
        /// Duration of the fault.
        #[serde(alias = "for_s")]
        duration_s: f64,
        /// Index of the region, from 0.
        region: u32,
    },
    /// Discovery distributes no changes. At the end of the fault it distributes the missed ones.
    #[serde(alias = "discovery-down")]
    DiscoveryOutage {
        /// Time at which the fault begins.
        #[serde(alias = "at_s")]
        start_s: f64,
        /// Duration of the fault.
        #[serde(alias = "for_s")]
        duration_s: f64,
    },
    /// The counter answers no call. At the end of the fault it has lost its data.
    #[serde(alias = "counter-down")]
    CounterOutage {
        /// Time at which the fault begins.
        #[serde(alias = "at_s")]
        start_s: f64,
        /// Duration of the fault.
        #[serde(alias = "for_s")]
        duration_s: f64,
    },
    /// All gateways restart one after another, spread evenly over the duration.
    #[serde(alias = "gateway-release")]
    GatewayRollout {
        /// Time at which the fault begins.
        #[serde(alias = "at_s")]
        start_s: f64,
        /// Duration of the fault.
        #[serde(alias = "for_s")]
        duration_s: f64,
    },
    /// A share of the endpoints drain and are replaced by new ones, in steps spread evenly over the duration.
    #[serde(alias = "server-rollout", alias = "backend-release")]
    EndpointRollout {
        /// Time at which the fault begins.
        #[serde(alias = "at_s")]
        start_s: f64,
        /// Duration of the fault.
        #[serde(alias = "for_s")]
        duration_s: f64,
        /// Share of the endpoints to replace.
        share: f64,
    },
}

impl Fault {
    /// Time at which the fault begins, in seconds.
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

    /// Duration of the fault, in seconds.
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
