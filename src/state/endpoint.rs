//! What the gateway knows of one endpoint.

use crate::api::{Endpoint, Millis};

/// One backend as this gateway sees it.
pub(crate) struct TrackedEndpoint {
    pub(crate) endpoint: Endpoint,
    /// The last list that named it.
    pub(crate) last_update: u64,
    /// When it started or came back, if it may be cold.
    pub(crate) slow_start_from: Option<Millis>,
    /// Work it may be sent while cold, in requests, and when that was reckoned.
    pub(crate) slow_start_tokens: f64,
    pub(crate) slow_start_tokens_at: Millis,
    pub(crate) in_flight: u32,
    /// Its time for a request beside the fleet's, and when last learned.
    pub(crate) relative_latency: f64,
    pub(crate) latency_updated_at: Millis,
    /// Connections believed open to it, and when the last answer came on one.
    pub(crate) connections: u32,
    pub(crate) connection_used_at: Millis,
    /// Last sign of life with work out.
    pub(crate) last_response_at: Millis,
    pub(crate) consecutive_failures: u32,
    /// Share of its answers that come spoilt or break off.
    pub(crate) invalid_response_rate: f64,
    /// Left out until then; a trial request follows.
    pub(crate) ejected_until: Millis,
    /// Turns each plan away until then.
    pub(crate) rejecting_until: Vec<Millis>,
}

impl TrackedEndpoint {
    /// An endpoint of which nothing is known yet but its entry in the list.
    pub(crate) fn new(endpoint: Endpoint, slow_start_from: Option<Millis>, now: Millis) -> Self {
        TrackedEndpoint {
            endpoint,
            last_update: 0,
            slow_start_from,
            slow_start_tokens: 0.0,
            slow_start_tokens_at: now,
            in_flight: 0,
            relative_latency: 1.0,
            latency_updated_at: now,
            connections: 0,
            connection_used_at: now,
            last_response_at: now,
            consecutive_failures: 0,
            invalid_response_rate: 0.0,
            ejected_until: now,
            rejecting_until: Vec::new(),
        }
    }
}
