use super::*;

fn warm_up(tokens: f64) -> WarmUp {
    let ramp = LinearRamp {
        start: 1000.0,
        duration_ms: 100.0,
        initial_share: 0.2,
    };
    WarmUp::new(Some(ramp), tokens, 1000.0)
}

#[test]
fn the_capacity_share_rises_from_its_initial_value_until_the_server_is_warm() {
    let share = |now| warm_up(0.0).capacity_share(now);
    assert_eq!(share(990.0), Some(0.2));
    assert_eq!(share(1000.0), Some(0.2));
    assert!((share(1050.0).unwrap() - 0.6).abs() < 1e-9);
    assert_eq!(share(1100.0), None);
}

#[test]
fn a_server_without_a_ramp_is_warm() {
    assert_eq!(WarmUp::new(None, 0.0, 1000.0).capacity_share(1000.0), None);
}

#[test]
fn tokens_come_at_the_share_of_the_warm_rate_up_to_one() {
    let mut warm_up = warm_up(0.0);
    warm_up.refill(1050.0, 10.0);
    // 50 ms at 10 a second and a share of 0.6.
    assert!(!warm_up.has_token());
    warm_up.refill(2050.0, 0.7);
    assert!(warm_up.has_token(), "0.3 + 0.7");
    warm_up.refill(9000.0, 100.0);
    warm_up.take_token();
    assert!(!warm_up.has_token(), "only one token is held");
}
