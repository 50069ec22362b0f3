use super::*;

/// A decay with a time constant of 10 s.
const DECAY: ForwardDecay = ForwardDecay {
    rate: 2.0,
    capacity: 20.0,
};
const END_MS: f64 = 20_000.0;

#[test]
fn usage_falls_by_a_factor_of_e_in_each_time_constant() {
    assert_eq!(DECAY.remaining_share(0.0), 1.0);
    assert!((DECAY.remaining_share(10_000.0) - (-1.0f64).exp()).abs() < 1e-12);
    assert_eq!(
        DECAY.remaining_share(-5.0),
        1.0,
        "a clock that goes back decays nothing"
    );
}

#[test]
fn the_count_divided_by_the_present_weight_is_the_decayed_usage() {
    let weight_at = |now_ms: f64| DECAY.remaining_share(END_MS - now_ms);
    let mut count = 4.0 * weight_at(0.0);
    assert!((count / weight_at(0.0) - 4.0).abs() < 1e-9);
    count += 4.0 * weight_at(10_000.0);
    let decayed = 4.0 * (-1.0f64).exp() + 4.0;
    assert!((count / weight_at(10_000.0) - decayed).abs() < 1e-9);
    assert!((count / weight_at(END_MS) - decayed * (-1.0f64).exp()).abs() < 1e-9);
}

#[test]
fn evenly_spread_usage_is_computed_from_its_decayed_part() {
    let steps = 10_000;
    let decayed: f64 = (0..steps)
        .map(|step| 0.001 * DECAY.remaining_share(f64::from(step) + 0.5))
        .sum();
    let remaining = DECAY.remaining_share(10_000.0);
    assert!((DECAY.evenly_spread_usage(decayed, 10_000.0, remaining) - 10.0).abs() < 1e-6);
}
