//! Report of an experiment. The same experiment and seed give the same report.

mod distribution;
mod summary;

pub use crate::violations::Violations;
pub use distribution::Distribution;

use serde::Serialize;

/// Report of one experiment.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Name of the experiment.
    pub experiment: String,
    /// Seed of all random streams.
    pub seed: u64,
    /// Length of the experiment on the event clock, in seconds.
    pub seconds: f64,
    /// Length of the measured part, which ends with the experiment, in seconds.
    pub measured_s: f64,
    /// Requests by outcome, in the measured part.
    pub requests: RequestStats,
    /// Attempts by outcome, in the measured part.
    pub attempts: AttemptStats,
    /// Time from a request's arrival at the gateway to its successful response there, in ms, in the measured part.
    pub latency_ms: Distribution,
    /// Statistics of the gateways, in the measured part unless the field says otherwise.
    pub gateways: GatewayStats,
    /// Statistics of the endpoints that were running at the end, in the measured part unless the field says otherwise.
    pub endpoints: EndpointStats,
    /// Statistics of the shared counter, in the measured part unless the field says otherwise.
    pub counter: CounterStats,
    /// Statistics of the distribution of the endpoint list, from the start of the experiment.
    pub discovery: DiscoveryStats,
    /// Rule violations, from the start of the experiment.
    pub violations: Violations,
    /// Requests by outcome in time windows of 5 s, from the start of the experiment.
    pub windows: Vec<Window>,
}

/// Number of requests by outcome.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RequestStats {
    /// First requests of clients.
    pub initial: u64,
    /// All requests, including clients' retries.
    pub total: u64,
    /// Requests served within the latency objective.
    pub served_on_time: u64,
    /// Requests served after the latency objective.
    pub served_late: u64,
    /// Requests rejected by the gateway.
    pub rejected: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Requests whose client disconnected before a final response.
    pub disconnected: u64,
    /// Requests without a final response when their gateway's process ended, from the start of the experiment.
    pub lost_at_restart: u64,
}

/// Number of attempts by outcome, and of the connections opened for them.
#[derive(Clone, Debug, Default, Serialize)]
pub struct AttemptStats {
    /// Attempts sent.
    pub sent: u64,
    /// Attempts sent that were not the first of their request.
    pub retries: u64,
    /// Attempts that succeeded.
    pub succeeded: u64,
    /// Attempts rejected by the endpoint.
    pub rejected: u64,
    /// Attempts whose connection could not be opened.
    pub connect_failed: u64,
    /// Attempts that timed out or whose connection was reset.
    pub timed_out: u64,
    /// Attempts cancelled by the gateway.
    pub cancelled: u64,
    /// New connections opened for attempts.
    pub new_connections: u64,
    /// Attempts sent to an endpoint of another zone.
    pub cross_zone: u64,
}

/// Statistics of the gateways, as distributions over all of them.
#[derive(Clone, Debug, Default, Serialize)]
pub struct GatewayStats {
    /// Requests that arrived at each gateway.
    pub requests: Distribution,
    /// Endpoints that each gateway sent attempts to.
    pub endpoints_used: Distribution,
    /// Peak number of connections from each gateway to endpoints, from the start of the experiment.
    pub max_connections: Distribution,
    /// Customers that each gateway keeps state of at the end.
    pub customers: Distribution,
}

/// Statistics of the endpoints that were running at the end, as distributions over them.
#[derive(Clone, Debug, Default, Serialize)]
pub struct EndpointStats {
    /// Requests that arrived at each endpoint.
    pub requests: Distribution,
    /// Number of endpoints that received no request.
    pub idle: u64,
    /// Gateways that sent attempts to each endpoint.
    pub gateways: Distribution,
    /// Connections to each endpoint at the end.
    pub connections: Distribution,
}

/// Statistics of the shared counter.
#[derive(Clone, Debug, Default, Serialize)]
pub struct CounterStats {
    /// Calls sent by the gateways.
    pub calls: u64,
    /// Mean number of calls per request.
    pub calls_per_request: f64,
    /// Calls that got no reply in time.
    pub timed_out: u64,
    /// Calls rejected because a shard's queue was full.
    pub rejected: u64,
    /// Keys that the counter holds at the end.
    pub keys: u64,
}

/// Statistics of the distribution of the endpoint list.
#[derive(Clone, Debug, Default, Serialize)]
pub struct DiscoveryStats {
    /// Changes of single entries.
    pub changes: u64,
    /// Entries delivered to the gateways, including the complete lists at their starts.
    pub entries_delivered: u64,
}

/// Number of requests by outcome in one time window.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Window {
    /// Start of the window on the event clock, in seconds.
    pub from_s: f64,
    /// All requests that arrived in the window. The other counts are by the time of the response.
    pub requests: u64,
    /// Requests served within the latency objective.
    pub served_on_time: u64,
    /// Requests served after the latency objective.
    pub served_late: u64,
    /// Requests rejected by the gateway.
    pub rejected: u64,
    /// Requests that failed.
    pub failed: u64,
}
