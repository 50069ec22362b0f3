//! The report of an experiment: counts and figures, the same for the same experiment and seed.

mod distribution;
mod summary;

pub use crate::violations::Violations;
pub use distribution::Distribution;

use serde::Serialize;

/// The report of one experiment.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// The experiment's name.
    pub experiment: String,
    /// The seed of all random streams.
    pub seed: u64,
    /// Length on the event clock.
    pub seconds: f64,
    /// The part of it that is measured.
    pub measured_s: f64,
    /// Requests by how they ended.
    pub requests: RequestStats,
    /// Attempts by how they ended.
    pub attempts: AttemptStats,
    /// Time from a request's arrival to its successful response at the gateway, in ms.
    pub latency_ms: Distribution,
    /// The gateways.
    pub gateways: GatewayStats,
    /// The endpoints that were running at the end.
    pub endpoints: EndpointStats,
    /// The shared counter.
    pub counter: CounterStats,
    /// The endpoint list.
    pub discovery: DiscoveryStats,
    /// Violations of the rules, from the start of the experiment.
    pub violations: Violations,
    /// Requests by how they ended in windows of 5 s, from the start of the experiment.
    pub windows: Vec<Window>,
}

/// Requests by how they ended.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RequestStats {
    /// Clients' first requests.
    pub initial: u64,
    /// All requests, clients' retries included.
    pub total: u64,
    /// Served within the latency objective.
    pub served_on_time: u64,
    /// Served later.
    pub served_late: u64,
    /// Rejected.
    pub rejected: u64,
    /// Failed.
    pub failed: u64,
    /// The client disconnected first.
    pub disconnected: u64,
    /// Lost with a gateway's process.
    pub lost_at_restart: u64,
}

/// Attempts by how they ended.
#[derive(Clone, Debug, Default, Serialize)]
pub struct AttemptStats {
    /// Attempts sent.
    pub sent: u64,
    /// Those of them that were not a request's first.
    pub retries: u64,
    /// Succeeded.
    pub succeeded: u64,
    /// Rejected by the endpoint.
    pub rejected: u64,
    /// No connection could be opened.
    pub connect_failed: u64,
    /// Not answered in time.
    pub timed_out: u64,
    /// Cancelled by the gateway.
    pub cancelled: u64,
    /// Connections opened.
    pub new_connections: u64,
    /// Sent to an endpoint of another zone.
    pub cross_zone: u64,
}

/// The gateways.
#[derive(Clone, Debug, Default, Serialize)]
pub struct GatewayStats {
    /// Requests that arrived at each.
    pub requests: Distribution,
    /// Endpoints that each sent attempts to.
    pub endpoints_used: Distribution,
    /// Most connections to endpoints that each held at a time.
    pub max_connections: Distribution,
    /// Customers that each knows at the end.
    pub customers: Distribution,
}

/// The endpoints that were running at the end.
#[derive(Clone, Debug, Default, Serialize)]
pub struct EndpointStats {
    /// Requests that arrived at each.
    pub requests: Distribution,
    /// Endpoints that no request arrived at.
    pub idle: u64,
    /// Gateways that sent attempts to each.
    pub gateways: Distribution,
    /// Connections to each at the end.
    pub connections: Distribution,
}

/// The shared counter.
#[derive(Clone, Debug, Default, Serialize)]
pub struct CounterStats {
    /// Calls made.
    pub calls: u64,
    /// Calls made for each request.
    pub calls_per_request: f64,
    /// Calls without a reply in time.
    pub timed_out: u64,
    /// Calls rejected.
    pub rejected: u64,
    /// Keys held at the end.
    pub keys: u64,
}

/// The endpoint list.
#[derive(Clone, Debug, Default, Serialize)]
pub struct DiscoveryStats {
    /// Changes of an entry.
    pub changes: u64,
    /// Entries delivered to all gateways, complete lists at their starts included.
    pub entries_delivered: u64,
}

/// Requests by how they ended in one window.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Window {
    /// When the window begins.
    pub from_s: f64,
    /// All requests.
    pub requests: u64,
    /// Served within the latency objective.
    pub served_on_time: u64,
    /// Served later.
    pub served_late: u64,
    /// Rejected.
    pub rejected: u64,
    /// Failed.
    pub failed: u64,
}
