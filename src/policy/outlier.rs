//! Outlier detection: decides which outcomes of attempts are failures of their endpoint. The consequences of
//! failures are decided by `ejection`.
//!
//! An invalid response is an error response or a broken connection. The rate of invalid responses is their
//! share among invalid responses and successes; other outcomes don't count.

use crate::api::{AttemptEnd, Millis, Outcome};
use crate::primitives::mean::exponential_mean;
use crate::state::{Context, EndpointHealth, TrackedEndpoint};

/// Weight of one outcome in the rate of invalid responses of its endpoint.
const ENDPOINT_INVALID_RATE_GAIN: f64 = 0.2;
/// Weight of one outcome in the rate of invalid responses of the fleet.
const FLEET_INVALID_RATE_GAIN: f64 = 0.02;
/// Margin by which the rate of invalid responses of an endpoint has to exceed that of the fleet for an
/// invalid response to count as a failure. The margin allows for requests that lead to an invalid response at
/// any endpoint.
const INVALID_RATE_MARGIN: f64 = 0.3;

/// Distinguishes faulty endpoints from a fleet that fails as a whole.
#[derive(Default)]
pub(super) struct OutlierDetector {
    /// Rate of invalid responses of the fleet (EWMA).
    fleet_invalid_rate: f64,
}

impl OutlierDetector {
    /// Records the end of an attempt. Has to be called before `TrackedEndpoint::attempt_ended` for the same
    /// attempt: until then `last_valid_response_at` shows whether the endpoint has responded to other
    /// attempts.
    pub(super) fn record(
        &mut self,
        cx: &mut Context,
        end: &AttemptEnd,
        endpoint: &mut TrackedEndpoint,
    ) {
        self.record_validity(end.outcome, &mut endpoint.health);
        if end.outcome == Outcome::Success {
            endpoint.health.ejection.record_success();
        } else if self.is_failure(cx.now, end, endpoint) {
            endpoint.health.ejection.record_failure(cx.now, cx.rng);
        }
    }

    fn record_validity(&mut self, outcome: Outcome, health: &mut EndpointHealth) {
        let invalid = match outcome {
            Outcome::Success => 0.0,
            Outcome::ErrorResponse | Outcome::ConnectionReset => 1.0,
            _ => return,
        };
        health.invalid_rate =
            exponential_mean(health.invalid_rate, invalid, ENDPOINT_INVALID_RATE_GAIN);
        self.fleet_invalid_rate =
            exponential_mean(self.fleet_invalid_rate, invalid, FLEET_INVALID_RATE_GAIN);
    }

    fn is_failure(&self, now: Millis, end: &AttemptEnd, endpoint: &TrackedEndpoint) -> bool {
        let has_responded_since = endpoint.last_valid_response_at > now - end.elapsed_ms;
        let is_often_invalid =
            endpoint.health.invalid_rate >= self.fleet_invalid_rate + INVALID_RATE_MARGIN;
        match end.outcome {
            Outcome::ConnectFailed => true,
            // If the endpoint has responded to other attempts in the meantime, the request itself took long.
            Outcome::Timeout => !has_responded_since,
            Outcome::ErrorResponse | Outcome::ConnectionReset => is_often_invalid,
            Outcome::Success | Outcome::Rejected | Outcome::Cancelled | Outcome::NotSent => false,
        }
    }
}
