use super::*;

#[test]
fn without_replies_it_is_the_shortest() {
    assert_eq!(CounterWait::default().max_ms(100.0), 5.0);
}

#[test]
fn it_follows_the_reply_time_between_its_limits() {
    let mut wait = CounterWait::default();
    wait.record_reply(10.0);
    assert_eq!(wait.max_ms(200.0), 30.0);
    assert_eq!(wait.max_ms(1000.0), 50.0);
    assert_eq!(wait.max_ms(100.0), 20.0);
}

/// One reply of the counter is very slow. If it set the wait, the next requests would wait for long, too.
#[test]
fn a_single_slow_reply_does_not_move_it_far() {
    let mut wait = CounterWait::default();
    wait.record_reply(10.0);
    wait.record_reply(10_000.0);
    assert!((wait.max_ms(200.0) - 33.0).abs() < 1e-9);
}
