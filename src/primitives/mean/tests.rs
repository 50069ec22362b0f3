use super::*;

#[test]
fn an_exponential_mean_moves_by_its_gain() {
    let mut mean = ExponentialMean::new(10.0, 0.5);
    mean.update(20.0);
    mean.update(15.0);
    assert_eq!(mean.value(), 15.0);
}

#[test]
fn a_time_average_decays_with_time_and_not_with_updates() {
    let mut once = TimeAverage::new(0.0, 100.0);
    once.update(100.0, 8.0);
    let mut often = TimeAverage::new(0.0, 100.0);
    for step in 1..=100 {
        often.update(f64::from(step), 8.0);
    }
    assert!((once.value() - 8.0 * (1.0 - (-1.0f64).exp())).abs() < 1e-9);
    assert!((once.value() - often.value()).abs() < 1e-9);
}

#[test]
fn an_event_rate_approaches_the_events_per_second_and_decays() {
    let mut rate = EventRate::new(0.0, 1000.0);
    for event in 1..=1000 {
        rate.record(f64::from(event) * 20.0, 1.0);
    }
    assert!(
        (rate.per_second() - 50.0).abs() < 1.0,
        "{} per second",
        rate.per_second()
    );
    rate.record(21_000.0, 0.0);
    assert!(
        (rate.per_second() - 50.0 / std::f64::consts::E).abs() < 1.0,
        "{} per second",
        rate.per_second()
    );
}

#[test]
fn a_clock_that_goes_back_changes_no_average() {
    let mut average = TimeAverage::new(1000.0, 100.0);
    average.update(0.0, 8.0);
    assert_eq!(average.value(), 0.0);
}

#[test]
fn the_first_samples_have_equal_weights() {
    let mut mean = RunningMean::new(100.0);
    assert_eq!(mean.value(), 100.0);
    for sample in [1.0, 2.0, 6.0] {
        mean.record(sample, 0.01);
    }
    assert!((mean.value() - 3.0).abs() < 1e-9, "mean {}", mean.value());
}

#[test]
fn later_samples_have_the_minimum_weight() {
    let mut mean = RunningMean::new(0.0);
    for _ in 0..100 {
        mean.record(10.0, 0.1);
    }
    mean.record(20.0, 0.1);
    assert!((mean.value() - 11.0).abs() < 1e-9, "mean {}", mean.value());
}

#[test]
fn an_event_rate_approaches_the_rate_of_regular_events() {
    let mut rate = EventRate::new(0.0, 1000.0);
    for event in 0..10_000 {
        rate.record(f64::from(event) * 10.0, 1.0);
    }
    assert!(
        (rate.per_second() - 100.0).abs() < 1.0,
        "{} per second",
        rate.per_second()
    );
}
