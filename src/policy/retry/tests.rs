//! Rules for retries and attempts: each reason for a denial is tested separately.

use super::*;
use crate::api::KeyScope;

const NOW: Millis = 10_000.0;
const WINDOW_MS: Millis = 1000.0;

const WITH_KEY: Idempotency = Idempotency::WithKey {
    scope: KeyScope::Zone,
    window_ms: WINDOW_MS,
};

/// A change to inputs that leads to another decision.
type Change<Inputs> = fn(&mut Inputs);

/// Inputs of an idempotent request whose connection was reset with time left.
fn retry_inputs() -> RetryInputs {
    RetryInputs {
        now: NOW,
        outcome: Outcome::ConnectionReset,
        response_started: false,
        deadline: NOW + 1500.0,
        objective_deadline: NOW + 400.0,
        baseline_latency_ms: 50.0,
        late_value_share: 0.0,
        idempotency: Idempotency::Idempotent,
        budget_has_retry: true,
    }
}

#[test]
fn a_retry_is_denied_for_each_reason() {
    let cases: [(RetryDenial, Change<RetryInputs>); 7] = [
        (RetryDenial::NotSent, |i| i.outcome = Outcome::NotSent),
        (RetryDenial::ResponseStarted, |i| i.response_started = true),
        (RetryDenial::DeadlinePassed, |i| i.deadline = NOW),
        (RetryDenial::PastObjective, |i| {
            i.objective_deadline = NOW + 50.0;
        }),
        // A response after the objective would have no value, whether or not the attempt was executed.
        (RetryDenial::PastObjective, |i| {
            i.outcome = Outcome::Rejected;
            i.objective_deadline = NOW + 50.0;
        }),
        (RetryDenial::MayHaveExecuted, |i| {
            i.idempotency = Idempotency::NotIdempotent;
        }),
        (RetryDenial::BudgetExhausted, |i| i.budget_has_retry = false),
    ];
    for (denial, change) in cases {
        let mut inputs = retry_inputs();
        change(&mut inputs);
        assert_eq!(decide_retry(&inputs), RetryDecision::Denied(denial));
    }
}

#[test]
fn only_a_retry_after_a_possible_execution_uses_the_budget() {
    for (outcome, uses_budget) in [
        (Outcome::ErrorResponse, true),
        (Outcome::Timeout, true),
        (Outcome::ConnectionReset, true),
        (Outcome::Cancelled, false),
        (Outcome::Rejected, false),
        (Outcome::ConnectFailed, false),
    ] {
        let inputs = RetryInputs {
            outcome,
            ..retry_inputs()
        };
        let allowed = RetryDecision::Allowed { uses_budget };
        assert_eq!(decide_retry(&inputs), allowed, "{outcome:?}");
    }
}

/// A request that no endpoint has executed can't be executed twice, so neither its idempotency nor the budget
/// matters.
#[test]
fn a_request_that_was_never_executed_is_retried_without_budget_and_idempotency() {
    for outcome in [Outcome::Rejected, Outcome::ConnectFailed] {
        let inputs = RetryInputs {
            outcome,
            idempotency: Idempotency::NotIdempotent,
            budget_has_retry: false,
            ..retry_inputs()
        };
        let allowed = RetryDecision::Allowed { uses_budget: false };
        assert_eq!(decide_retry(&inputs), allowed, "{outcome:?}");
    }
}

#[test]
fn a_request_is_retried_past_its_objective_if_a_late_response_has_value() {
    let inputs = RetryInputs {
        late_value_share: 0.5,
        objective_deadline: NOW - 100.0,
        ..retry_inputs()
    };
    let allowed = RetryDecision::Allowed { uses_budget: true };
    assert_eq!(decide_retry(&inputs), allowed);
}

/// Inputs of a request with one attempt, which may have been executed 300 ms ago.
fn attempt_inputs() -> AttemptInputs {
    AttemptInputs {
        now: NOW,
        deadline: NOW + 1500.0,
        attempts: 1,
        max_attempts: 3,
        idempotency: WITH_KEY,
        first_possible_execution_at: Some(NOW - 300.0),
        is_within_ceiling: true,
    }
}

#[test]
fn an_attempt_is_denied_for_each_reason() {
    let cases: [(AttemptDenial, Change<AttemptInputs>); 4] = [
        (AttemptDenial::DeadlinePassed, |i| i.deadline = NOW),
        (AttemptDenial::AttemptsExhausted, |i| i.attempts = 3),
        (AttemptDenial::KeyWindowExpired, |i| {
            i.first_possible_execution_at = Some(NOW - WINDOW_MS + MAX_WRITE_DELAY_MS);
        }),
        (AttemptDenial::CeilingReached, |i| {
            i.attempts = 0;
            i.is_within_ceiling = false;
        }),
    ];
    for (denial, change) in cases {
        let mut inputs = attempt_inputs();
        change(&mut inputs);
        assert_eq!(decide_attempt(&inputs), AttemptDecision::Denied(denial));
    }
}

/// A program may stall between its decision and the first byte. Even then, the program must not send a retry
/// after the key's window.
#[test]
fn a_retry_with_a_key_has_to_start_within_the_window_less_the_longest_stall() {
    let start_timeout_ms = WINDOW_MS - 300.0 - MAX_WRITE_DELAY_MS;
    let allowed = AttemptDecision::Allowed { start_timeout_ms };
    assert_eq!(decide_attempt(&attempt_inputs()), allowed);
}

#[test]
fn an_attempt_not_bound_to_a_key_window_may_start_at_any_time() {
    let unlimited = AttemptDecision::Allowed {
        start_timeout_ms: f64::INFINITY,
    };
    for (idempotency, first_possible_execution_at) in [
        (WITH_KEY, None),
        (Idempotency::Idempotent, Some(NOW - 300.0)),
        (Idempotency::NotIdempotent, None),
    ] {
        let inputs = AttemptInputs {
            idempotency,
            first_possible_execution_at,
            ..attempt_inputs()
        };
        assert_eq!(decide_attempt(&inputs), unlimited, "{idempotency:?}");
    }
}

#[test]
fn the_attempt_limit_excludes_first_attempts_and_the_ceiling_excludes_retries() {
    let first = AttemptInputs {
        attempts: 0,
        max_attempts: 0,
        ..attempt_inputs()
    };
    let retry = AttemptInputs {
        is_within_ceiling: false,
        ..attempt_inputs()
    };
    for inputs in [first, retry] {
        let decision = decide_attempt(&inputs);
        assert!(matches!(decision, AttemptDecision::Allowed { .. }));
    }
}

#[test]
fn the_budget_permits_the_saved_retries_and_one_per_ten_requests() {
    let mut budget = RetryBudget::new();
    for _ in 0..10 {
        assert!(budget.has_retry());
        budget.withdraw();
    }
    assert!(!budget.has_retry());
    for _ in 0..11 {
        budget.deposit();
    }
    assert!(budget.has_retry());
    budget.withdraw();
    assert!(!budget.has_retry());
}
