//! Each rule is reported as broken once its slack is exceeded, and not before. A checker that allows too much would
//! miss faults of the gateway. A checker that allows too little would report delays of the stand-ins as faults of the
//! gateway.

use super::{response_body, ObservationLog, ObservedAttempt, Rule, RuleChecker, RuleLimits};
use crate::request_class::RequestClass;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{advance, Instant};

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn checker() -> RuleChecker {
    let limits = RuleLimits {
        drain_grace: ms(2000),
        key_window: ms(1000),
        overload_window: ms(1000),
        capacity_per_s: 10.0,
        initial_share: 0.2,
        warm_up: ms(10_000),
        overload_multiple: 4.0,
    };
    RuleChecker::new(limits, Rc::new(ObservationLog::start()))
}

fn attempt(transaction: u64) -> ObservedAttempt {
    ObservedAttempt {
        transaction,
        endpoint: 3,
        began_at: Instant::now(),
        propagated_deadline: ms(1000),
        drain_notified_at: None,
        started_at: None,
        allowance: Duration::ZERO,
    }
}

fn rules(checker: &RuleChecker) -> Vec<Rule> {
    checker
        .log
        .violations()
        .iter()
        .map(|violation| violation.rule)
        .collect()
}

/// A gateway sends an attempt for a client that has disconnected, to an endpoint that drains, or with a deadline that
/// is too long. Sockets and the test process delay the observations. Nothing is reported within that slack, and a
/// violation is reported 1 ms beyond it.
#[tokio::test(start_paused = true)]
async fn a_time_rule_is_broken_only_beyond_its_slack() {
    let mut checker = checker();
    checker.request_sent(1, RequestClass::AtMostOnce, 0, ms(1000));
    checker.attempt_received(attempt(1));
    checker.client_disconnected(1);
    advance(ms(100)).await;
    let drain_notified_at = Some(Instant::now() - ms(2050));
    checker.attempt_received(ObservedAttempt {
        propagated_deadline: ms(1050),
        drain_notified_at,
        ..attempt(1)
    });
    assert_eq!(rules(&checker), []);
    advance(ms(1)).await;
    checker.attempt_received(ObservedAttempt {
        propagated_deadline: ms(900),
        ..attempt(1)
    });
    assert_eq!(rules(&checker), [Rule::ClientDisconnected]);
    checker.attempt_received(ObservedAttempt {
        allowance: ms(2),
        propagated_deadline: ms(1052),
        ..attempt(1)
    });
    assert_eq!(
        rules(&checker).len(),
        2,
        "the allowance for late observations isn't applied: {:?}",
        checker.log.violations()
    );
    let drain_notified_at = Some(Instant::now() - ms(2051));
    checker.request_sent(2, RequestClass::AtMostOnce, 0, ms(1000));
    checker.attempt_received(ObservedAttempt {
        drain_notified_at,
        ..attempt(2)
    });
    assert_eq!(rules(&checker)[2..], [Rule::Drain]);
}

/// A gateway retries a request that may have been executed. An idempotent request may be executed again, and a request
/// whose key the endpoints still know is not executed again. Any other second execution is reported.
#[tokio::test(start_paused = true)]
async fn a_request_is_executed_once_unless_it_is_idempotent() {
    let mut checker = checker();
    for (transaction, class) in [
        (1, RequestClass::Idempotent),
        (2, RequestClass::WithKey),
        (3, RequestClass::AtMostOnce),
    ] {
        checker.request_sent(transaction, class, 0, ms(1000));
        assert!(checker.execution_started(transaction, 0));
    }
    assert!(!checker.execution_started(2, 1), "the key is known");
    checker.execution_started(1, 1);
    assert_eq!(rules(&checker), []);
    checker.execution_started(3, 1);
    advance(ms(1000)).await;
    checker.execution_started(2, 1);
    assert_eq!(rules(&checker), [Rule::Duplicate, Rule::Duplicate]);
}

/// A gateway sends a client the response to another request, or a success that no endpoint produced. The response body
/// reveals both.
#[tokio::test(start_paused = true)]
async fn a_success_has_the_body_produced_for_its_request() {
    let mut checker = checker();
    for transaction in [1, 2, 3] {
        checker.request_sent(transaction, RequestClass::Idempotent, 0, ms(1000));
    }
    checker.execution_started(1, 0);
    checker.execution_started(2, 0);
    checker.response_received(1, 200, response_body(1).as_bytes());
    checker.response_received(3, 502, b"");
    assert_eq!(rules(&checker), []);
    checker.response_received(2, 200, response_body(1).as_bytes());
    checker.response_received(3, 200, response_body(3).as_bytes());
    checker.attempt_received(attempt(9));
    checker.request_lost(3, "closed");
    assert_eq!(
        rules(&checker),
        [
            Rule::WrongAnswer,
            Rule::WrongAnswer,
            Rule::WrongAnswer,
            Rule::Lost
        ]
    );
}

/// A gateway overloads an endpoint that has just started. The limit at the start is 4 * 0.2 * 10 = 8 attempts in a
/// window of 1 s, with a tolerance of 3 standard deviations plus 3 attempts.
#[tokio::test(start_paused = true)]
async fn attempts_at_an_endpoint_that_is_warming_up_are_limited() {
    let mut checker = checker();
    checker.request_sent(1, RequestClass::Idempotent, 0, ms(1000));
    let started_at = Some(Instant::now());
    for _ in 0..19 {
        checker.attempt_received(ObservedAttempt {
            started_at,
            ..attempt(1)
        });
    }
    assert_eq!(rules(&checker), []);
    checker.attempt_received(ObservedAttempt {
        started_at,
        ..attempt(1)
    });
    assert_eq!(rules(&checker), [Rule::SlowStart]);
}
