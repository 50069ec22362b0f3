use super::*;
use crate::policy::admission::Limit;

const OVER_QUOTA: EndReason = EndReason::Rejected(RejectReason::OverLimit(Limit::Quota));

const LIMITS: Limits = Limits {
    max_attempts: 3,
    hedging: false,
    cancellation: false,
    gossip: false,
    retry_after: true,
    max_retry_after_ms: 2000.0,
    idle_timeout_ms: 0.0,
    requests_per_connection: 1,
    max_connections: 0,
};

fn with_key(scope: KeyScope) -> Idempotency {
    Idempotency::WithKey {
        scope,
        window_ms: 1000.0,
    }
}

/// Inputs of a request that may have been executed and must not be executed again.
fn inputs() -> ResponseInputs<'static> {
    ResponseInputs {
        reason: EndReason::NoEndpoint,
        idempotency: Idempotency::NotIdempotent,
        may_have_executed: true,
        quota_retry_after_ms: 700.0,
        baseline_latency_ms: 60.0,
        latency_objective_ms: 500.0,
        limits: &LIMITS,
    }
}

fn safety(inputs: &ResponseInputs) -> Option<RetrySafety> {
    match decide_response(inputs) {
        UnservedResponse::Rejected { safety, .. } => Some(safety),
        UnservedResponse::Failed => None,
    }
}

/// A client sends a rejected request again. If an endpoint has executed the first one, the request could be
/// executed twice, so it has to fail instead.
#[test]
fn a_request_that_may_have_been_executed_is_rejected_only_if_a_retry_is_safe() {
    for (idempotency, expected) in [
        (Idempotency::Idempotent, Some(RetrySafety::Idempotent)),
        (
            with_key(KeyScope::All),
            Some(RetrySafety::KeyKnownEverywhere),
        ),
        (with_key(KeyScope::Zone), None),
        (with_key(KeyScope::Cell), None),
        (Idempotency::NotIdempotent, None),
    ] {
        let inputs = ResponseInputs {
            idempotency,
            ..inputs()
        };
        assert_eq!(safety(&inputs), expected, "{idempotency:?}");
    }
}

#[test]
fn a_request_that_was_never_executed_is_rejected() {
    for idempotency in [with_key(KeyScope::Cell), Idempotency::NotIdempotent] {
        let inputs = ResponseInputs {
            idempotency,
            may_have_executed: false,
            ..inputs()
        };
        let expected = Some(RetrySafety::NeverExecuted);
        assert_eq!(safety(&inputs), expected, "{idempotency:?}");
    }
}

fn retry_after_ms(inputs: &ResponseInputs) -> Option<Millis> {
    match decide_response(inputs) {
        UnservedResponse::Rejected { retry_after_ms, .. } => Some(retry_after_ms),
        UnservedResponse::Failed => None,
    }
}

#[test]
fn retry_after_depends_on_the_reason() {
    for (reason, expected_ms) in [
        (OVER_QUOTA, 700.0),
        (EndReason::Rejected(RejectReason::Overloaded), 60.0),
        (EndReason::NoEndpoint, 250.0),
        (
            EndReason::AttemptDenied(AttemptDenial::CeilingReached),
            250.0,
        ),
        (EndReason::RetryDenied(RetryDenial::BudgetExhausted), 250.0),
    ] {
        let inputs = ResponseInputs {
            reason,
            may_have_executed: false,
            ..inputs()
        };
        assert_eq!(retry_after_ms(&inputs), Some(expected_ms), "{reason:?}");
    }
}

#[test]
fn retry_after_is_limited_and_may_be_turned_off() {
    let not_permitted = Limits {
        retry_after: false,
        ..LIMITS
    };
    let negative_maximum = Limits {
        max_retry_after_ms: -1.0,
        ..LIMITS
    };
    for (limits, expected_ms) in [
        (&LIMITS, 2000.0),
        (&not_permitted, 0.0),
        (&negative_maximum, 0.0),
    ] {
        let inputs = ResponseInputs {
            reason: OVER_QUOTA,
            quota_retry_after_ms: 9000.0,
            may_have_executed: false,
            limits,
            ..inputs()
        };
        assert_eq!(retry_after_ms(&inputs), Some(expected_ms));
    }
}

#[test]
fn each_response_has_its_action() {
    let rejected = UnservedResponse::invalid(InvalidRequest::UnknownClass);
    let expected = Action::Reject {
        id: 3,
        retry_after_ms: 0.0,
    };
    assert_eq!(rejected.action(3), expected);
    assert_eq!(UnservedResponse::Failed.action(3), Action::Fail { id: 3 });
}
