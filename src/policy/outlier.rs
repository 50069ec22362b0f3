//! Outlier detection: which outcomes of attempts are failures of their endpoint. What follows from failures
//! is decided by `ejection`.
//!
//! An invalid response is an error or one that breaks off. Its rate is among these and successes alone; other
//! outcomes don't count in it.

use crate::api::{AttemptEnd, Millis, Outcome};
use crate::primitives::mean::exponential_mean;
use crate::state::{Context, EndpointHealth, TrackedEndpoint};

/// Weight of one outcome in the rate of invalid responses of its endpoint.
const ENDPOINT_INVALID_RATE_GAIN: f64 = 0.2;
/// Weight of one outcome in the rate of invalid responses of the fleet.
const FLEET_INVALID_RATE_GAIN: f64 = 0.02;
/// An invalid response is a failure if its endpoint's rate of them is above the fleet's by this share of all
/// responses: a request may be invalid at any endpoint.
const INVALID_RATE_MARGIN: f64 = 0.3;

/// Distinguishes faulty endpoints from a fleet that fails as one.
#[derive(Default)]
pub(super) struct OutlierDetector {
    /// Share of invalid responses (EWMA).
    fleet_invalid_rate: f64,
}

impl OutlierDetector {
    /// Has to be called before `TrackedEndpoint::attempt_ended` for the same attempt:
    /// `last_valid_response_at` says then whether the endpoint has responded to other attempts.
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
            // If the endpoint has responded to others meanwhile, it was the request that took long.
            Outcome::Timeout => !has_responded_since,
            Outcome::ErrorResponse | Outcome::ConnectionReset => is_often_invalid,
            Outcome::Success | Outcome::Rejected | Outcome::Cancelled | Outcome::NotSent => false,
        }
    }
}
