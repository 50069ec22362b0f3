//! Outlier detection: endpoints that keep failing are ejected, endpoints that reject requests are avoided.

use crate::api::{AttemptEnd, Millis, Outcome};
use crate::primitives::ejection::EjectionParameters;
use crate::state::{Context, EndpointHealth, TrackedEndpoint};

/// The first ejection time, in ms.
const BASE_EJECTION_MS: f64 = 500.0;
/// One failure alone may be chance; the longest ejection, 16 s, lets tests cost next to nothing.
const EJECTION: EjectionParameters = EjectionParameters {
    failures: 2,
    base_ms: BASE_EJECTION_MS,
    max_doublings: 5,
    jitter: 0.2,
};
/// Weight of one response in the rate of invalid responses of its endpoint, and of the fleet.
const INVALID_RATE_WEIGHT: f64 = 0.2;
const FLEET_INVALID_RATE_WEIGHT: f64 = 0.02;
/// An invalid response is a failure if its endpoint's rate is above the fleet's by this: any may give some.
const INVALID_RATE_MARGIN: f64 = 0.3;
/// An endpoint that has rejected a request is avoided for this time at least, in ms ...
const MIN_AVOIDANCE_MS: f64 = 200.0;
/// ... and for about this many requests, or a quiet gateway would ask it again each time.
const MIN_AVOIDANCE_REQUESTS: f64 = 20.0;

/// Tells faulty endpoints from a fleet that fails as a whole.
#[derive(Default)]
pub(super) struct OutlierDetector {
    /// Share of all responses that are errors or break off, averaged.
    fleet_invalid_rate: f64,
}

impl OutlierDetector {
    /// To be called before the endpoint's `last_response_at` takes in this outcome.
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
            endpoint
                .health
                .ejection
                .record_failure(cx.now, &EJECTION, cx.rng);
        }
    }

    fn record_validity(&mut self, outcome: Outcome, health: &mut EndpointHealth) {
        let invalid = match outcome {
            Outcome::Success => 0.0,
            Outcome::ErrorResponse | Outcome::ConnectionReset => 1.0,
            _ => return,
        };
        health.invalid_rate += (invalid - health.invalid_rate) * INVALID_RATE_WEIGHT;
        self.fleet_invalid_rate += (invalid - self.fleet_invalid_rate) * FLEET_INVALID_RATE_WEIGHT;
    }

    fn is_failure(&self, now: Millis, end: &AttemptEnd, endpoint: &TrackedEndpoint) -> bool {
        let has_responded_since = endpoint.last_response_at > now - end.elapsed_ms;
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

/// How long an endpoint is avoided after a rejection, in ms.
pub(super) fn avoidance_ms(request_rate: f64) -> Millis {
    MIN_AVOIDANCE_MS.max(MIN_AVOIDANCE_REQUESTS * 1000.0 / request_rate.max(1.0))
}

/// Whether most are ejected, so that ejections shall be ignored: a broken network path looks the same.
pub(super) fn in_panic_mode<'a>(endpoints: impl Iterator<Item = &'a TrackedEndpoint>) -> bool {
    let mut ready = 0;
    let mut ejected = 0;
    for endpoint in endpoints.filter(|endpoint| endpoint.is_ready()) {
        ready += 1;
        ejected += u32::from(endpoint.health.ejection.is_ejected());
    }
    ejected * 2 > ready
}
