use super::*;

#[test]
fn an_endpoint_has_a_share_of_its_capacity_until_it_is_warm() {
    let ramp = LinearRamp {
        start: 1000.0,
        duration_ms: 100.0,
        initial_share: 0.2,
    };
    let warm_up = WarmUp::new(Some(ramp), 0.0, 1000.0);
    assert_eq!(warm_up.capacity_share(1000.0), Some(0.2));
    assert_eq!(warm_up.capacity_share(1100.0), None);
    assert!(warm_up.has_ramp());
}

#[test]
fn an_endpoint_without_a_ramp_is_warm() {
    assert_eq!(WarmUp::new(None, 0.0, 1000.0).capacity_share(1000.0), None);
}

#[test]
fn an_attempt_without_a_token_makes_the_balance_negative() {
    let mut warm_up = WarmUp::new(None, 0.0, 1000.0);
    warm_up.consume_token();
    warm_up.tokens.add_tokens(1.5, 2.0);
    assert!(!warm_up.has_token());
    warm_up.tokens.add_tokens(0.5, 2.0);
    assert!(warm_up.has_token());
}
