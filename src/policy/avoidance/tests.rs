use super::*;

fn health_after(outcome: Outcome, request_rate: f64) -> EndpointHealth {
    let mut health = EndpointHealth::default();
    if let Some(scope) = AvoidanceScope::new(outcome, 1, 3) {
        health.avoid(0.0, &scope, request_rate);
    }
    health
}

#[test]
fn an_endpoint_that_rejects_a_request_is_avoided_for_its_plan() {
    let health = health_after(Outcome::Rejected, 1000.0);
    assert!(health.is_rejecting(0.0, 1));
    assert!(!health.is_rejecting(0.0, 0) && !health.is_rejecting(0.0, 2));
    assert!(!health.is_rejecting(MIN_AVOIDANCE_MS, 1));
}

/// An endpoint that is down accepts no connections. Avoidance for the plan of the failed request alone would
/// let requests of the other plans fail.
#[test]
fn an_endpoint_that_accepts_no_connection_is_avoided_for_all_plans() {
    let health = health_after(Outcome::ConnectFailed, 1000.0);
    assert!((0..3).all(|plan| health.is_rejecting(0.0, plan)));
}

#[test]
fn other_failures_lead_to_no_avoidance() {
    for outcome in [
        Outcome::Success,
        Outcome::Timeout,
        Outcome::ErrorResponse,
        Outcome::ConnectionReset,
        Outcome::Cancelled,
        Outcome::NotSent,
    ] {
        assert!(
            !health_after(outcome, 1000.0).is_rejecting_any(0.0),
            "{outcome:?}"
        );
    }
}

/// An endpoint rejects requests, and the gateway has few requests. With avoidance for a fixed time alone,
/// each of its requests could reach the endpoint again and be rejected. The endpoint has to be avoided for a
/// number of requests.
#[test]
fn a_gateway_with_few_requests_avoids_an_endpoint_for_longer() {
    let health = health_after(Outcome::Rejected, 10.0);
    assert!(health.is_rejecting(MIN_AVOIDANCE_REQUESTS * 100.0 - 1.0, 1));
    assert!(!health.is_rejecting(MIN_AVOIDANCE_REQUESTS * 100.0, 1));
}
