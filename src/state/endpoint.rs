//! The record of one endpoint.

use crate::api::{Endpoint, EndpointState, Millis, Outcome};
use crate::primitives::decay::DecayingRatio;
use crate::primitives::ring::Node;
use crate::state::{ConnectionEstimate, Ejection, WarmUp};
use std::ops::Range;

/// One endpoint as this gateway sees it. Further methods: `policy::latency` (the expected latency),
/// `policy::ejection` (whether it may be sent attempts).
pub(crate) struct TrackedEndpoint {
    pub(crate) endpoint: Endpoint,
    /// Number of the last endpoint update that named it.
    pub(crate) last_update: u64,
    /// Attempts of this gateway in flight.
    pub(crate) in_flight: u32,
    /// When an attempt last ended with a valid response, a success or a rejection; or when one started while no other
    /// was in flight, if that was later.
    pub(crate) last_valid_response_at: Millis,
    /// Its latency as a ratio to the fleet's.
    pub(crate) relative_latency: DecayingRatio,
    pub(crate) connections: ConnectionEstimate,
    pub(crate) warm_up: WarmUp,
    pub(crate) health: EndpointHealth,
}

impl TrackedEndpoint {
    /// An endpoint of which only its entry in the endpoint list is known.
    pub(crate) fn new(
        endpoint: Endpoint,
        connections: ConnectionEstimate,
        warm_up: WarmUp,
        now: Millis,
    ) -> Self {
        TrackedEndpoint {
            endpoint,
            last_update: 0,
            in_flight: 0,
            last_valid_response_at: now,
            relative_latency: DecayingRatio::new(now),
            connections,
            warm_up,
            health: EndpointHealth::default(),
        }
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.endpoint.state == EndpointState::Ready
    }

    /// Its node on the ring of ready endpoints.
    pub(crate) fn ring_node(&self) -> Option<Node> {
        let Endpoint {
            id,
            zone,
            hash_key: key,
            ..
        } = self.endpoint;
        self.is_ready().then_some(Node { id, zone, key })
    }

    /// When an attempt last succeeded; when the endpoint was first seen if none has. A restart of the endpoint doesn't
    /// change it, as `DecayingRatio::reset` leaves the time of the last sample.
    pub(crate) fn last_success_at(&self) -> Millis {
        self.relative_latency.updated_at()
    }

    pub(crate) fn has_free_connection(&self, now: Millis) -> bool {
        self.connections.has_free(now, self.in_flight)
    }

    /// It has restarted: what was known of its health and latency no longer holds.
    pub(crate) fn restart(&mut self, warm_up: WarmUp) {
        self.warm_up = warm_up;
        self.health = EndpointHealth::default();
        self.relative_latency.reset();
    }

    pub(crate) fn attempt_started(&mut self, now: Millis) {
        if self.in_flight == 0 {
            self.last_valid_response_at = now;
        }
        self.in_flight += 1;
        self.connections.attempt_started(now, self.in_flight);
        self.warm_up.take_token();
    }

    pub(crate) fn attempt_ended(&mut self, now: Millis, outcome: Outcome) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.connections.attempt_ended(now, outcome);
        if outcome.is_valid_response() {
            self.last_valid_response_at = now;
        }
    }
}

/// The health of an endpoint by the outcomes of its attempts. `policy::avoidance` has further methods.
#[derive(Default)]
pub(crate) struct EndpointHealth {
    pub(crate) ejection: Ejection,
    /// Share of its attempts that ended with an error or a broken connection, among these and successes (EWMA).
    pub(crate) invalid_rate: f64,
    /// By plan: until when it is likely to reject requests. Plans beyond the end have had no rejection.
    rejecting_until: Vec<Millis>,
}

impl EndpointHealth {
    /// The endpoint is likely to reject requests of these plans until then.
    pub(crate) fn set_rejecting(&mut self, plans: Range<usize>, until: Millis) {
        if self.rejecting_until.len() < plans.end {
            self.rejecting_until.resize(plans.end, f64::NEG_INFINITY);
        }
        self.rejecting_until[plans].fill(until);
    }

    pub(crate) fn is_rejecting(&self, now: Millis, plan: usize) -> bool {
        self.rejecting_until
            .get(plan)
            .is_some_and(|until| now < *until)
    }

    pub(crate) fn is_rejecting_any(&self, now: Millis) -> bool {
        self.rejecting_until.iter().any(|until| now < *until)
    }

    /// Whether it is neither ejected nor rejecting.
    pub(crate) fn is_healthy(&self, now: Millis) -> bool {
        !self.ejection.is_ejected && !self.is_rejecting_any(now)
    }
}
