use super::*;

#[test]
fn a_ratio_follows_its_samples_and_decays_to_one() {
    let mut ratio = DecayingRatio::new(0.0);
    assert_eq!(ratio.current(0.0, 1000.0), 1.0);
    ratio.record(0.0, 1.0, 3.0, 0.5);
    assert_eq!(ratio.current(0.0, 1000.0), 2.0);
    assert!((ratio.current(1000.0, 1000.0) - (1.0 + (-1.0f64).exp())).abs() < 1e-9);
    assert!(ratio.current(1e6, 1000.0) < 1.001);
}

#[test]
fn a_reset_ratio_keeps_the_time_of_its_last_sample() {
    let mut ratio = DecayingRatio::new(0.0);
    ratio.record(5.0, 1.0, 3.0, 0.5);
    ratio.reset();
    assert_eq!(ratio.current(5.0, 1000.0), 1.0);
    assert_eq!(ratio.updated_at(), 5.0);
}
