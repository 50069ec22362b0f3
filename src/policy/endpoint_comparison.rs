//! Comparison of endpoints for one attempt: the endpoints that may be sent the attempt, and the cost of each.

use crate::api::Millis;
use crate::policy::candidate::{Candidate, DeduplicationScope, Preference};
use crate::policy::ejection::in_panic_mode;
use crate::state::{Context, OpenRequest, TrackedEndpoint};
use fastrand::Rng;

/// Largest random part of a cost, in baseline latencies. Without it, gateways that have equally little
/// information on the endpoints would all choose the same one.
const COST_JITTER: f64 = 0.05;
/// Factor on the cost of a new connection. That cost, in ms, is this factor times the price of a handshake
/// (`Prices::handshake`) times the latency objective of the class. The factor is above 1 because a connection
/// also costs the endpoint work, and because a gateway learns more about an endpoint that it uses often.
const HANDSHAKE_FACTOR: f64 = 3.0;

/// Compares endpoints for one attempt.
pub(super) struct EndpointComparison<'a> {
    now: Millis,
    open_request: &'a OpenRequest,
    scope: DeduplicationScope,
    baseline_ms: Millis,
    handshake_cost_ms: f64,
}

impl<'a> EndpointComparison<'a> {
    /// Creates the comparison for the request's next attempt. `baseline_ms` is the latency of the request's
    /// class at an idle endpoint.
    pub(super) fn new(cx: &Context, open_request: &'a OpenRequest, baseline_ms: Millis) -> Self {
        let class = cx.class(&open_request.request);
        let first_possible_execution = open_request
            .first_possible_execution
            .map(|first| first.location);
        EndpointComparison {
            now: cx.now,
            open_request,
            scope: DeduplicationScope::new(class.idempotency, first_possible_execution),
            baseline_ms,
            handshake_cost_ms: HANDSHAKE_FACTOR
                * cx.settings.prices.handshake
                * class.latency_objective_ms,
        }
    }

    /// Returns the best of these endpoints; none if none of them may be sent the attempt.
    pub(super) fn best<'e>(
        &self,
        endpoints: impl Iterator<Item = &'e TrackedEndpoint> + Clone,
        rng: &mut Rng,
    ) -> Option<Candidate<'e>> {
        let ignore_ejections = in_panic_mode(endpoints.clone());
        let mut best: Option<Candidate> = None;
        for endpoint in endpoints.filter(|endpoint| endpoint.is_ready()) {
            let is_warming = endpoint.warm_up.capacity_share(self.now).is_some();
            let is_in_scope = self.scope.contains(&endpoint.entry);
            if !is_in_scope || is_warming && !endpoint.warm_up.has_token() {
                continue;
            }
            // The latency of a warming endpoint with a token counts as 0; only a handshake, if needed, adds
            // to its cost. With its real latency, or among many endpoints by chance, it might not be sent the
            // attempts that slow start allots to it.
            let latency_ms = if is_warming {
                0.0
            } else {
                self.latency_with_jitter(endpoint, rng)
            };
            let candidate = self.candidate(endpoint, latency_ms, ignore_ejections);
            if best.is_none_or(|best| candidate.is_better_than(best)) {
                best = Some(candidate);
            }
        }
        best
    }

    fn latency_with_jitter(&self, endpoint: &TrackedEndpoint, rng: &mut Rng) -> Millis {
        endpoint.expected_latency(self.now, self.baseline_ms)
            + self.baseline_ms * COST_JITTER * rng.f64()
    }

    fn candidate<'e>(
        &self,
        endpoint: &'e TrackedEndpoint,
        latency_ms: Millis,
        ignore_ejections: bool,
    ) -> Candidate<'e> {
        let handshake_ms = if endpoint.has_free_connection(self.now) {
            0.0
        } else {
            self.handshake_cost_ms
        };
        Candidate {
            preference: self.preference(endpoint, ignore_ejections),
            cost_ms: latency_ms + handshake_ms,
            endpoint: &endpoint.entry,
        }
    }

    fn preference(&self, endpoint: &TrackedEndpoint, ignore_ejections: bool) -> Preference {
        let id = endpoint.entry.id;
        let plan = self.open_request.request.plan as usize;
        let had_attempt = self
            .open_request
            .attempts
            .iter()
            .any(|attempt| attempt.endpoint == id);
        let is_rejecting = endpoint.health.is_rejecting(self.now, plan);
        let is_ejected = !ignore_ejections && !endpoint.ejection_allows_attempt(self.now);
        if had_attempt || is_rejecting || is_ejected {
            Preference::LastResort
        } else {
            Preference::Preferred
        }
    }
}
