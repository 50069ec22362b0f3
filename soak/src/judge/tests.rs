//! Each rule is found broken past its slack, and not before.

use super::{answer_body, Class, Judge, Rule, RuleFigures, SeenAttempt};
use std::time::Duration;
use tokio::time::{advance, Instant};

const MS: fn(u64) -> Duration = Duration::from_millis;

fn judge() -> Judge {
    Judge::new(RuleFigures {
        drain_grace: MS(2000),
        key_window: MS(1000),
        overload_window: MS(1000),
        capacity_per_s: 10.0,
        initial_share: 0.2,
        warm_up: MS(10_000),
        overload_multiple: 4.0,
    })
}

fn attempt(transaction: u64) -> SeenAttempt {
    SeenAttempt {
        transaction,
        endpoint: 3,
        began_at: Instant::now(),
        propagated_deadline: MS(1000),
        drain_notified_at: None,
        started_at: None,
        lag: Duration::ZERO,
    }
}

fn rules(judge: &Judge) -> Vec<Rule> {
    judge
        .violations
        .iter()
        .map(|violation| violation.rule)
        .collect()
}

#[tokio::test(start_paused = true)]
async fn times_are_judged_with_their_slack() {
    let mut judge = judge();
    judge.request_sent(1, Class::Once, 0, MS(1000));
    judge.attempt(attempt(1));
    judge.client_closed(1);
    advance(MS(100)).await;
    let drain_notified_at = Some(Instant::now() - MS(2050));
    judge.attempt(SeenAttempt {
        propagated_deadline: MS(1050),
        drain_notified_at,
        ..attempt(1)
    });
    assert_eq!(rules(&judge), []);
    advance(MS(1)).await;
    judge.attempt(SeenAttempt {
        propagated_deadline: MS(900),
        ..attempt(1)
    });
    assert_eq!(rules(&judge), [Rule::ClientGone]);
    judge.attempt(SeenAttempt {
        lag: MS(2),
        propagated_deadline: MS(1052),
        ..attempt(1)
    });
    assert_eq!(
        rules(&judge).len(),
        2,
        "the lag is allowed for: {:?}",
        judge.violations
    );
    let drain_notified_at = Some(Instant::now() - MS(2051));
    judge.request_sent(2, Class::Once, 0, MS(1000));
    judge.attempt(SeenAttempt {
        drain_notified_at,
        ..attempt(2)
    });
    assert_eq!(rules(&judge)[2..], [Rule::Drain]);
}

#[tokio::test(start_paused = true)]
async fn a_request_is_executed_once_unless_it_is_safe() {
    let mut judge = judge();
    for (transaction, class) in [(1, Class::Look), (2, Class::Order), (3, Class::Once)] {
        judge.request_sent(transaction, class, 0, MS(1000));
        assert!(judge.executed(transaction, 0));
    }
    assert!(!judge.executed(2, 1), "its key is known");
    judge.executed(1, 1);
    assert_eq!(rules(&judge), []);
    judge.executed(3, 1);
    advance(MS(1000)).await;
    judge.executed(2, 1);
    assert_eq!(rules(&judge), [Rule::Duplicate, Rule::Duplicate]);
}

#[tokio::test(start_paused = true)]
async fn a_success_needs_the_answer_made_for_its_request() {
    let mut judge = judge();
    for transaction in [1, 2, 3] {
        judge.request_sent(transaction, Class::Look, 0, MS(1000));
    }
    judge.executed(1, 0);
    judge.executed(2, 0);
    judge.answered(1, 200, answer_body(1).as_bytes());
    judge.answered(3, 502, b"");
    assert_eq!(rules(&judge), []);
    judge.answered(2, 200, answer_body(1).as_bytes());
    judge.answered(3, 200, answer_body(3).as_bytes());
    judge.attempt(attempt(9));
    judge.lost(3, "closed");
    assert_eq!(
        rules(&judge),
        [
            Rule::WrongAnswer,
            Rule::WrongAnswer,
            Rule::WrongAnswer,
            Rule::Lost
        ]
    );
}

/// At first 4 * 0.2 * 10 = 8 are borne in a second, with a margin of 3 roots and 3.
#[tokio::test(start_paused = true)]
async fn a_cold_endpoint_bears_only_so_much() {
    let mut judge = judge();
    judge.request_sent(1, Class::Look, 0, MS(1000));
    let started_at = Some(Instant::now());
    for _ in 0..19 {
        judge.attempt(SeenAttempt {
            started_at,
            ..attempt(1)
        });
    }
    assert_eq!(rules(&judge), []);
    judge.attempt(SeenAttempt {
        started_at,
        ..attempt(1)
    });
    assert_eq!(rules(&judge), [Rule::SlowStart]);
}
