//! The record of one endpoint.

use crate::api::{Endpoint, EndpointState, Millis, Outcome};
use crate::primitives::decay::DecayingRatio;
use crate::primitives::ring::Node;
use crate::state::{ConnectionEstimate, Ejection, WarmUp};
use std::ops::Range;

/// This gateway's record of one endpoint. Further methods are in `policy::latency` (the expected latency) and
/// `policy::ejection` (whether attempts may be sent to the endpoint).
pub(crate) struct TrackedEndpoint {
    /// The endpoint's entry in the endpoint list.
    pub(crate) entry: Endpoint,
    /// Number of the last update of the endpoint list that contained the endpoint.
    pub(crate) last_update: u64,
    /// Number of this gateway's attempts in flight at the endpoint.
    pub(crate) in_flight: u32,
    /// Time at which an attempt last ended with a valid response (a success or a rejection), or at which an attempt
    /// last started while no other was in flight, whichever is later.
    pub(crate) last_valid_response_at: Millis,
    /// Ratio of the endpoint's latency to the fleet's.
    pub(crate) relative_latency: DecayingRatio,
    pub(crate) connections: ConnectionEstimate,
    pub(crate) warm_up: WarmUp,
    pub(crate) health: EndpointHealth,
}

impl TrackedEndpoint {
    /// A new record of an endpoint, from its entry in the endpoint list.
    pub(crate) fn new(
        entry: Endpoint,
        connections: ConnectionEstimate,
        warm_up: WarmUp,
        now: Millis,
    ) -> Self {
        TrackedEndpoint {
            entry,
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
        self.entry.state == EndpointState::Ready
    }

    /// The endpoint's node on the ring of ready endpoints; `None` if the endpoint is not ready.
    pub(crate) fn ring_node(&self) -> Option<Node> {
        let Endpoint {
            id, zone, hash_key, ..
        } = self.entry;
        self.is_ready().then_some(Node { id, zone, hash_key })
    }

    /// Time of the last successful attempt, or of the endpoint's first appearance in the list if none has succeeded.
    /// A restart of the endpoint doesn't change this time, as `DecayingRatio::reset` keeps the time of the last sample.
    pub(crate) fn last_success_at(&self) -> Millis {
        self.relative_latency.updated_at()
    }

    pub(crate) fn has_free_connection(&self, now: Millis) -> bool {
        self.connections.has_free_connection(now, self.in_flight)
    }

    /// Resets health, latency and warm-up after the endpoint has restarted, or was listed again after its removal.
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
        self.warm_up.consume_token();
    }

    pub(crate) fn attempt_ended(&mut self, now: Millis, outcome: Outcome) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.connections.attempt_ended(now, outcome);
        if outcome.is_valid_response() {
            self.last_valid_response_at = now;
        }
    }
}

/// The health of an endpoint, derived from the outcomes of its attempts. Further methods are in `policy::avoidance`.
#[derive(Default)]
pub(crate) struct EndpointHealth {
    pub(crate) ejection: Ejection,
    /// Share of attempts that ended with an error response or a broken connection, among those and the successes; an
    /// exponentially weighted moving average.
    pub(crate) invalid_rate: f64,
    /// By plan: time until which the endpoint is likely to reject requests. Plans beyond the end have had no rejection.
    rejecting_until: Vec<Millis>,
}

impl EndpointHealth {
    /// Records that the endpoint is likely to reject requests of these plans until the given time.
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

    /// Whether the endpoint is neither ejected nor likely to reject requests of any plan.
    pub(crate) fn is_healthy(&self, now: Millis) -> bool {
        !self.ejection.is_ejected && !self.is_rejecting_any(now)
    }
}
