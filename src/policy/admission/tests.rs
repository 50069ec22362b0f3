//! Admission decisions: each reason for forwarding or rejecting a request is tested separately.

use super::*;

/// Inputs of a customer within its limits.
fn customer() -> CustomerInputs {
    CustomerInputs {
        has_quota: true,
        units: 3.0,
        available_units: 10.0,
        concurrent_attempts: 1.0,
        max_concurrency: 4,
    }
}

/// Inputs of a fleet with capacity, where serving a request over a limit is not worth its cost.
fn load() -> LoadInputs {
    LoadInputs {
        expected_latency_ms: 100.0,
        latency_objective_ms: 1000.0,
        latency_budget_ms: 1000.0,
        over_quota_value_share: 0.5,
        over_quota_cost: 0.5,
    }
}

fn load_where_over_limit_is_worthwhile(expected_latency_ms: Millis) -> LoadInputs {
    LoadInputs {
        expected_latency_ms,
        over_quota_value_share: 0.6,
        ..load()
    }
}

#[test]
fn a_request_within_all_limits_is_charged() {
    let admission = decide_on_arrival(&customer(), &load());
    assert_eq!(admission, Admission::Charge);
    assert!(!admission.is_over_limit());
}

#[test]
fn a_request_over_a_limit_is_rejected_with_that_limit() {
    let over_quota = CustomerInputs {
        available_units: 2.9,
        ..customer()
    };
    let over_concurrency = CustomerInputs {
        concurrent_attempts: 4.0,
        ..customer()
    };
    for (customer, limit) in [
        (over_quota, Limit::Quota),
        (over_concurrency, Limit::Concurrency),
    ] {
        let admission = decide_on_arrival(&customer, &load());
        let expected = Admission::Reject(RejectReason::OverLimit(limit));
        assert_eq!(admission, expected);
        assert!(admission.is_over_limit());
    }
}

#[test]
fn a_request_may_reach_a_limit_exactly_and_a_plan_may_have_no_limits() {
    let cases = [
        CustomerInputs {
            available_units: 3.0,
            ..customer()
        },
        CustomerInputs {
            concurrent_attempts: 3.0,
            ..customer()
        },
        CustomerInputs {
            has_quota: false,
            available_units: -5.0,
            ..customer()
        },
        CustomerInputs {
            max_concurrency: 0,
            concurrent_attempts: 1000.0,
            ..customer()
        },
    ];
    for customer in cases {
        let admission = decide_on_arrival(&customer, &load());
        assert_eq!(admission, Admission::Charge);
    }
}

#[test]
fn a_request_is_rejected_if_its_expected_latency_is_too_large_a_share_of_its_latency_budget() {
    for (expected_latency_ms, latency_budget_ms, admission) in [
        (400.0, 1000.0, Admission::Charge),
        (401.0, 1000.0, Admission::Reject(RejectReason::Overloaded)),
        // For a client that gives up early, its own timeout limits the expected latency.
        (100.0, 200.0, Admission::Reject(RejectReason::Overloaded)),
        (0.0, -1.0, Admission::Charge),
        (
            f64::INFINITY,
            1000.0,
            Admission::Reject(RejectReason::Overloaded),
        ),
    ] {
        let load = LoadInputs {
            expected_latency_ms,
            latency_budget_ms,
            ..load()
        };
        let decided = decide_on_arrival(&customer(), &load);
        assert_eq!(
            decided, admission,
            "expected {expected_latency_ms} ms of {latency_budget_ms} ms"
        );
        assert!(!decided.is_over_limit());
    }
}

#[test]
fn a_request_over_a_limit_is_forwarded_if_it_is_worth_its_cost_and_the_fleet_has_capacity() {
    let over_quota = CustomerInputs {
        available_units: 0.0,
        ..customer()
    };
    let forwarded = Admission::ForwardOverLimit(Limit::Quota);
    let rejected = Admission::Reject(RejectReason::OverLimit(Limit::Quota));
    for (expected_latency_ms, expected) in [(349.0, forwarded), (350.0, rejected)] {
        let load = load_where_over_limit_is_worthwhile(expected_latency_ms);
        let admission = decide_on_arrival(&over_quota, &load);
        assert_eq!(admission, expected);
        assert!(admission.is_over_limit());
    }
}

#[test]
fn the_available_units_decide_after_the_wait() {
    let overloaded = || LoadInputs {
        expected_latency_ms: f64::INFINITY,
        ..load()
    };
    assert_eq!(decide_after_wait(3.0, 3.0, overloaded), Admission::Forward);
    assert_eq!(
        decide_after_wait(3.0, 2.9, load),
        Admission::Reject(RejectReason::OverLimit(Limit::Quota))
    );
    assert_eq!(
        decide_after_wait(3.0, 2.9, || load_where_over_limit_is_worthwhile(100.0)),
        Admission::ForwardOverLimit(Limit::Quota)
    );
}
