use super::*;

const NOW: Millis = 1000.0;

fn fleet(ready_endpoints: usize, gateway_count: u32) -> FleetInputs {
    FleetInputs {
        now: NOW,
        ready_endpoints,
        gateway_count,
        baseline_latency_ms: 50.0,
        latency_objective_ms: 500.0,
    }
}

fn load(in_flight: usize) -> LoadEstimate {
    let mut load = LoadEstimate::new(NOW);
    for _ in 0..in_flight {
        load.attempt_started(NOW);
    }
    load
}

#[test]
fn without_endpoints_no_response_is_expected() {
    assert_eq!(expected_latency(&mut load(0), &fleet(0, 1)), f64::INFINITY);
}

/// A few attempts hang, and the gateway gets no responses from which it could learn that other requests are
/// served. The gateway has to keep admitting requests, up to its share of a few attempts on each endpoint.
#[test]
fn few_attempts_in_flight_are_no_overload_at_any_latency() {
    for (in_flight, ready_endpoints, gateway_count, admitted) in [
        (5, 4, 2, true),
        (6, 4, 2, false),
        (0, 1, 50, true),
        (1, 1, 50, false),
        (11, 4, 0, true),
    ] {
        let fleet = fleet(ready_endpoints, gateway_count);
        let expected_ms = expected_latency(&mut load(in_flight), &fleet);
        assert_eq!(expected_ms == 0.0, admitted, "{in_flight} in flight");
    }
}
