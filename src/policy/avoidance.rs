//! Avoidance of endpoints that reject requests. An avoided endpoint is a last resort, for a limited time, for
//! the plans whose requests it is likely to reject.

use crate::api::{Millis, Outcome};
use crate::state::EndpointHealth;

/// The shortest time for which an endpoint is avoided, in ms.
const MIN_AVOIDANCE_MS: Millis = 200.0;
/// Minimum number of this gateway's requests that arrive while an endpoint is avoided. For a gateway with few
/// requests, the shortest time alone would be over before each next request.
const MIN_AVOIDANCE_REQUESTS: f64 = 20.0;
/// Lower bound of the rate of requests per second, which limits the time of an avoidance to 20 s.
const MIN_REQUEST_RATE: f64 = 1.0;

/// Returns the time for which an endpoint is avoided at this rate of requests per second, in ms.
fn avoidance_ms(request_rate: f64) -> Millis {
    MIN_AVOIDANCE_MS.max(MIN_AVOIDANCE_REQUESTS * 1000.0 / request_rate.max(MIN_REQUEST_RATE))
}

/// The requests for which an endpoint is avoided, as it is likely to reject them.
pub(super) enum AvoidanceScope {
    /// Requests of the plan with this index.
    Plan(usize),
    /// Requests of all plans; the value is the number of plans.
    AllPlans(usize),
}

impl AvoidanceScope {
    /// Returns the scope after an attempt with this outcome; none if the outcome says nothing about
    /// rejections.
    pub(super) fn new(outcome: Outcome, plan: usize, plan_count: usize) -> Option<Self> {
        match outcome {
            Outcome::Rejected => Some(AvoidanceScope::Plan(plan)),
            // An endpoint that accepts no connection accepts no request of any plan.
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
