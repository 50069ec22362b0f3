//! Tests how many attempts an endpoint in slow start may get.

use super::SlowStartCheck;
use quota_gateway::Rules;
use std::time::Duration;
use tokio::time::Instant;

fn check() -> SlowStartCheck {
    SlowStartCheck::new(&Rules {
        slow_start_min_capacity: 0.25,
        slow_start_ms: 10_000.0,
        overload_multiple: 2.0,
        overload_window_ms: 1000.0,
        ..Rules::default()
    })
}

/// An endpoint that has just started is overloaded by its full share of requests. The check must detect that, but must
/// not report random variation. Of 105 attempts to 10 endpoints, one that has just started may get 10.5 * 0.25 * 2 =
/// 5.25 attempts, plus 3 times the square root of that, plus 3: 15.1.
#[test]
fn an_endpoint_in_slow_start_may_get_its_share_plus_a_tolerance() {
    let mut check = check();
    let now = Instant::now();
    for _ in 0..90 {
        assert!(check.record(1, None, 10, now));
    }
    let allowed = (0..20)
        .take_while(|_| check.record(2, Some(0.0), 10, now))
        .count();
    assert_eq!(allowed, 15);
    assert!(
        check.record(2, Some(10_000.0), 10, now),
        "slow start is over"
    );
    assert!(check.record(3, Some(0.0), 10, now), "another endpoint");
}

#[test]
fn attempts_older_than_the_window_do_not_count() {
    let mut check = check();
    let start = Instant::now();
    for step in 0..100 {
        assert!(
            check.record(2, Some(0.0), 10, start + Duration::from_millis(300 * step)),
            "{step}"
        );
    }
}
