//! Each rule is found broken past its slack, and not before. A checker that allows too much would pass over faults of
//! the gateway; one that allows too little would blame it for delays of the stand-ins.

use super::{answer_body, ObservationLog, ObservedAttempt, Rule, RuleChecker, RuleLimits};
use crate::request_class::RequestClass;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{advance, Instant};

const MS: fn(u64) -> Duration = Duration::from_millis;

fn checker() -> RuleChecker {
    let limits = RuleLimits {
        drain_grace: MS(2000),
        key_window: MS(1000),
        overload_window: MS(1000),
        capacity_per_s: 10.0,
        initial_share: 0.2,
        warm_up: MS(10_000),
        overload_multiple: 4.0,
    };
    RuleChecker::new(limits, Rc::new(ObservationLog::start()))
}

fn attempt(transaction: u64) -> ObservedAttempt {
    ObservedAttempt {
        transaction,
        endpoint: 3,
        began_at: Instant::now(),
        propagated_deadline: MS(1000),
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

/// A gateway sends an attempt for a client that has closed, to an endpoint that drains, or with a deadline that is too
/// long. Sockets and this process delay what is seen; up to that slack nothing is reported, one ms more is.
#[tokio::test(start_paused = true)]
async fn times_are_checked_with_their_slack() {
    let mut checker = checker();
    checker.request_sent(1, RequestClass::AtMostOnce, 0, MS(1000));
    checker.attempt(attempt(1));
    checker.client_closed(1);
    advance(MS(100)).await;
    let drain_notified_at = Some(Instant::now() - MS(2050));
    checker.attempt(ObservedAttempt {
        propagated_deadline: MS(1050),
        drain_notified_at,
        ..attempt(1)
    });
    assert_eq!(rules(&checker), []);
    advance(MS(1)).await;
    checker.attempt(ObservedAttempt {
        propagated_deadline: MS(900),
        ..attempt(1)
    });
    assert_eq!(rules(&checker), [Rule::ClientDisconnected]);
    checker.attempt(ObservedAttempt {
        allowance: MS(2),
        propagated_deadline: MS(1052),
        ..attempt(1)
    });
    assert_eq!(
        rules(&checker).len(),
        2,
        "the delay is allowed for: {:?}",
        checker.log.violations()
    );
    let drain_notified_at = Some(Instant::now() - MS(2051));
    checker.request_sent(2, RequestClass::AtMostOnce, 0, MS(1000));
    checker.attempt(ObservedAttempt {
        drain_notified_at,
        ..attempt(2)
    });
    assert_eq!(rules(&checker)[2..], [Rule::Drain]);
}

/// A gateway retries a request that may have been executed. An idempotent one may be, and one with a key that the
/// endpoints still know is dropped there; any other is executed twice, and that is reported.
#[tokio::test(start_paused = true)]
async fn a_request_is_executed_once_unless_it_is_idempotent() {
    let mut checker = checker();
    for (transaction, class) in [
        (1, RequestClass::Idempotent),
        (2, RequestClass::WithKey),
        (3, RequestClass::AtMostOnce),
    ] {
        checker.request_sent(transaction, class, 0, MS(1000));
        assert!(checker.executed(transaction, 0));
    }
    assert!(!checker.executed(2, 1), "its key is known");
    checker.executed(1, 1);
    assert_eq!(rules(&checker), []);
    checker.executed(3, 1);
    advance(MS(1000)).await;
    checker.executed(2, 1);
    assert_eq!(rules(&checker), [Rule::Duplicate, Rule::Duplicate]);
}

/// A gateway gives a client the response to another request, or a success that no endpoint made. The body shows it.
#[tokio::test(start_paused = true)]
async fn a_success_needs_the_answer_made_for_its_request() {
    let mut checker = checker();
    for transaction in [1, 2, 3] {
        checker.request_sent(transaction, RequestClass::Idempotent, 0, MS(1000));
    }
    checker.executed(1, 0);
    checker.executed(2, 0);
    checker.answered(1, 200, answer_body(1).as_bytes());
    checker.answered(3, 502, b"");
    assert_eq!(rules(&checker), []);
    checker.answered(2, 200, answer_body(1).as_bytes());
    checker.answered(3, 200, answer_body(3).as_bytes());
    checker.attempt(attempt(9));
    checker.lost(3, "closed");
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

/// A gateway sends an endpoint that has just started more than it can serve, which would overload it. At first 4 * 0.2 * 10 = 8 a second are the limit, with a margin of 3 standard deviations and 3.
#[tokio::test(start_paused = true)]
async fn an_endpoint_that_warms_up_may_get_only_so_many_attempts() {
    let mut checker = checker();
    checker.request_sent(1, RequestClass::Idempotent, 0, MS(1000));
    let started_at = Some(Instant::now());
    for _ in 0..19 {
        checker.attempt(ObservedAttempt {
            started_at,
            ..attempt(1)
        });
    }
    assert_eq!(rules(&checker), []);
    checker.attempt(ObservedAttempt {
        started_at,
        ..attempt(1)
    });
    assert_eq!(rules(&checker), [Rule::SlowStart]);
}
