use super::*;

const PARAMETERS: TimeoutParameters = TimeoutParameters {
    multiple: 3.0,
    min_share: 0.1,
    max_share: 0.5,
    gain: 0.05,
};

#[test]
fn without_replies_it_is_the_shortest() {
    assert_eq!(AdaptiveTimeout::new(&PARAMETERS).timeout(100.0), 10.0);
}

#[test]
fn it_follows_the_reply_time_between_its_limits() {
    let mut timeout = AdaptiveTimeout::new(&PARAMETERS);
    timeout.record_reply(10.0);
    assert_eq!(timeout.timeout(100.0), 30.0);
    assert_eq!(timeout.timeout(1000.0), 100.0);
    assert_eq!(timeout.timeout(40.0), 20.0);
}

#[test]
fn a_single_slow_reply_does_not_move_it_far() {
    let mut timeout = AdaptiveTimeout::new(&PARAMETERS);
    timeout.record_reply(10.0);
    timeout.record_reply(10_000.0);
    assert!((timeout.timeout(100.0) - 33.0).abs() < 1e-9);
}
