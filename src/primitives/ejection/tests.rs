use super::*;

const PARAMETERS: EjectionParameters = EjectionParameters {
    failures: 2,
    base_ms: 100.0,
    max_doublings: 2,
    jitter: 0.0,
};

fn after_failures(count: u32) -> Ejection {
    let mut ejection = Ejection::default();
    let mut rng = Rng::with_seed(1);
    for _ in 0..count {
        ejection.record_failure(0.0, &PARAMETERS, &mut rng);
    }
    ejection
}

#[test]
fn the_last_of_several_consecutive_failures_ejects() {
    assert!(!after_failures(1).is_ejected());
    assert!(after_failures(1).admits(0.0, false));
    assert!(after_failures(2).is_ejected());
}

#[test]
fn the_ejection_time_doubles_up_to_a_limit() {
    for (failures, ejection_ms) in [(2, 100.0), (3, 200.0), (4, 400.0), (5, 400.0), (100, 400.0)] {
        let ejection = after_failures(failures);
        assert!(
            !ejection.admits(ejection_ms - 1.0, true),
            "{failures} failures"
        );
        assert!(ejection.admits(ejection_ms, true), "{failures} failures");
    }
}

#[test]
fn after_the_ejection_time_only_an_idle_server_is_admitted() {
    let ejection = after_failures(2);
    assert!(ejection.is_ejected());
    assert!(!ejection.admits(100.0, false));
}

#[test]
fn a_success_ends_the_ejection() {
    let mut ejection = after_failures(5);
    ejection.record_success();
    assert!(!ejection.is_ejected());
    assert!(ejection.admits(0.0, false));
}
