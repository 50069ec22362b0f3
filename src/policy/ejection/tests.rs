use super::*;

fn after_failures(count: u32) -> Ejection {
    let mut ejection = Ejection::default();
    let mut rng = Rng::with_seed(1);
    for _ in 0..count {
        ejection.record_failure(0.0, &mut rng);
    }
    ejection
}

/// An endpoint fails consecutive requests. It has to be ejected, but not after a single failure.
#[test]
fn the_last_of_several_consecutive_failures_ejects() {
    assert!(!after_failures(1).is_ejected);
    assert!(after_failures(1).allows_attempt(0.0, false));
    assert!(after_failures(2).is_ejected);
}

/// An endpoint stays down, and each probe of it costs a request. Probes have to become rare, but not stop.
#[test]
fn the_ejection_time_doubles_up_to_a_limit() {
    let ejection_times_ms = [
        (2, 500.0),
        (3, 1000.0),
        (4, 2000.0),
        (6, 8000.0),
        (7, 16_000.0),
        (8, 16_000.0),
        (100, 16_000.0),
    ];
    for (failures, ejection_ms) in ejection_times_ms {
        let ejection = after_failures(failures);
        assert!(
            !ejection.allows_attempt(ejection_ms - 1.0, true),
            "{failures} failures"
        );
        assert!(
            ejection.allows_attempt(ejection_ms * (1.0 + EJECTION_TIME.jitter), true),
            "{failures} failures"
        );
    }
}

/// The ejection time of an endpoint ends while the endpoint is still down. Only one request may be lost to
/// detect that.
#[test]
fn after_the_ejection_time_an_attempt_is_allowed_only_at_an_idle_endpoint() {
    let ejection = after_failures(2);
    assert!(ejection.is_ejected);
    assert!(ejection.allows_attempt(ejection.until, true));
    assert!(!ejection.allows_attempt(ejection.until, false));
}

#[test]
fn a_success_ends_the_ejection() {
    let mut ejection = after_failures(5);
    ejection.record_success();
    assert!(!ejection.is_ejected);
    assert!(ejection.allows_attempt(0.0, false));
}
