use super::*;

/// Returns the estimate after ten seconds of 100 requests per second that take `latency_ms` each.
fn estimate_under_steady_load(latency_ms: f64) -> LoadEstimate {
    let mut load = LoadEstimate::new(0.0);
    let mut ends = std::collections::VecDeque::new();
    for request in 0..1000 {
        let now = f64::from(request) * 10.0;
        while ends.front().is_some_and(|end| *end <= now) {
            ends.pop_front();
            load.attempt_ended(now, true);
            load.record_latency(latency_ms, 500.0);
        }
        load.attempt_started(now);
        ends.push_back(now + latency_ms);
    }
    load
}

#[test]
fn without_responses_the_estimate_is_the_initial_share_of_the_objective() {
    let load = LoadEstimate::new(0.0);
    assert!((load.expected_latency(50.0, 1000.0) - 300.0).abs() < 1e-9);
}

#[test]
fn under_steady_load_the_estimate_is_near_the_latency() {
    for latency_ms in [50.0, 400.0] {
        let expected_ms = estimate_under_steady_load(latency_ms).expected_latency(50.0, 500.0);
        assert!(
            (expected_ms - latency_ms).abs() < latency_ms * 0.1,
            "expected {expected_ms} ms at a latency of {latency_ms} ms"
        );
    }
}

#[test]
fn the_estimate_rises_at_once_with_the_attempts_in_flight() {
    let mut load = estimate_under_steady_load(100.0);
    let before_ms = load.expected_latency(50.0, 500.0);
    for _ in 0..10 {
        load.attempt_started(10_000.0);
    }
    assert!(load.expected_latency(50.0, 500.0) > before_ms * 1.3);
}
