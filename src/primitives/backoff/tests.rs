use super::*;

fn delay_ms(jitter: f64, step: u32) -> f64 {
    let backoff = ExponentialBackoff {
        base_ms: 100.0,
        max_doublings: 2,
        jitter,
    };
    backoff.delay_ms(step, &mut Rng::with_seed(1))
}

#[test]
fn the_delay_doubles_up_to_a_limit() {
    for (step, expected_ms) in [(0, 100.0), (1, 200.0), (2, 400.0), (3, 400.0), (98, 400.0)] {
        assert_eq!(delay_ms(0.0, step), expected_ms, "step {step}");
    }
}

#[test]
fn jitter_only_lengthens_the_delay() {
    let delay_ms = delay_ms(0.2, 1);
    assert!(delay_ms > 200.0 && delay_ms <= 240.0, "{delay_ms}");
}
