use super::*;

#[test]
fn the_wait_is_the_shortest_without_replies() {
    assert_eq!(CounterWait::default().max_wait_ms(100.0), 5.0);
}

#[test]
fn the_wait_follows_the_reply_time_within_its_limits() {
    let mut wait = CounterWait::default();
    wait.record_reply(10.0);
    assert_eq!(wait.max_wait_ms(200.0), 30.0);
    assert_eq!(wait.max_wait_ms(1000.0), 50.0);
    assert_eq!(wait.max_wait_ms(100.0), 20.0);
}

/// One reply of the counter is very slow. If it alone set the wait, the next requests would also wait for
/// long.
#[test]
fn a_single_slow_reply_does_not_change_the_wait_much() {
    let mut wait = CounterWait::default();
    wait.record_reply(10.0);
    wait.record_reply(10_000.0);
    assert!((wait.max_wait_ms(200.0) - 33.0).abs() < 1e-9);
}
