//! Endpoints that reject requests are avoided for a time: they are a last resort for the plans that they are
//! likely to reject.

use crate::api::{Millis, Outcome};
use crate::state::EndpointHealth;

/// Shortest time for which an endpoint is avoided, in ms.
const MIN_AVOIDANCE_MS: Millis = 200.0;
/// Least number of requests of this gateway that arrive while an endpoint is avoided. For a quiet gateway the
/// shortest time alone would be over before each next request.
const MIN_AVOIDANCE_REQUESTS: f64 = 20.0;
/// A lower rate of requests per second counts as this one, which limits the time of an avoidance to 20 s.
const MIN_REQUEST_RATE: f64 = 1.0;

/// How long an endpoint is avoided, in ms, at this rate of requests per second.
fn avoidance_ms(request_rate: f64) -> Millis {
    MIN_AVOIDANCE_MS.max(MIN_AVOIDANCE_REQUESTS * 1000.0 / request_rate.max(MIN_REQUEST_RATE))
}

/// The requests for which an endpoint is avoided, as it is likely to reject them.
pub(super) enum AvoidanceScope {
    /// Requests of this plan.
    Plan(usize),
    /// Requests of all plans, which are this many.
    AllPlans(usize),
}

impl AvoidanceScope {
    /// The scope after an attempt with this outcome; none if the outcome says nothing of rejections.
    pub(super) fn new(outcome: Outcome, plan: usize, plan_count: usize) -> Option<Self> {
        match outcome {
            Outcome::Rejected => Some(AvoidanceScope::Plan(plan)),
            // What accepts no connection accepts no request of any plan.
            Outcome::ConnectFailed => Some(AvoidanceScope::AllPlans(plan_count)),
            _ => None,
        }
    }
}

impl EndpointHealth {
    /// Avoids the endpoint from now on for the requests in the scope.
    pub(super) fn avoid(&mut self, now: Millis, scope: &AvoidanceScope, request_rate: f64) {
        let until = now + avoidance_ms(request_rate);
        match *scope {
            AvoidanceScope::Plan(plan) => self.set_rejecting(plan..plan + 1, until),
            AvoidanceScope::AllPlans(count) => self.set_rejecting(0..count, until),
        }
    }
}

#[cfg(test)]
mod tests;
