use super::*;

#[test]
fn the_first_samples_have_equal_weights() {
    let mut mean = RunningMean::new(100.0);
    assert_eq!(mean.value(), 100.0);
    for sample in [1.0, 2.0, 6.0] {
        mean.record(sample, 0.01);
    }
    assert!((mean.value() - 3.0).abs() < 1e-9, "{}", mean.value());
}

#[test]
fn later_samples_have_the_least_weight_given() {
    let mut mean = RunningMean::new(0.0);
    for _ in 0..100 {
        mean.record(10.0, 0.1);
    }
    mean.record(20.0, 0.1);
    assert!((mean.value() - 11.0).abs() < 1e-9, "{}", mean.value());
}
