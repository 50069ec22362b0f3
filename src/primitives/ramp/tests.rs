use super::*;

#[test]
fn the_share_rises_from_its_initial_value_until_it_has_reached_one() {
    let ramp = LinearRamp {
        start: 1000.0,
        duration_ms: 100.0,
        initial_share: 0.2,
    };
    assert_eq!(ramp.share_at(990.0), Some(0.2));
    assert_eq!(ramp.share_at(1000.0), Some(0.2));
    assert!((ramp.share_at(1050.0).unwrap() - 0.6).abs() < 1e-9);
    assert_eq!(ramp.share_at(1100.0), None);
}
