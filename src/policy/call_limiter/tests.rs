use super::*;

/// Calls of this priority that are permitted now.
fn acquired(limiter: &mut CallLimiter, now: f64, priority: CallPriority) -> usize {
    (0..1000)
        .take_while(|_| limiter.try_acquire(now, priority))
        .count()
}

#[test]
fn optional_calls_leave_half_of_the_tokens_to_required_ones() {
    let mut limiter = CallLimiter::new(0.0);
    assert_eq!(acquired(&mut limiter, 0.0, CallPriority::Optional), 2);
    assert!(!limiter.is_exhausted());
    assert_eq!(acquired(&mut limiter, 0.0, CallPriority::Required), 3);
    assert!(limiter.is_exhausted());
}

/// The counter is overloaded for a moment, and all calls in its queue fail. If each of them cut the rate, hardly any
/// call would be left: together they are one decrease.
#[test]
fn failures_of_calls_that_were_made_together_decrease_the_rate_once() {
    let mut limiter = CallLimiter::new(0.0);
    acquired(&mut limiter, 0.0, CallPriority::Required);
    limiter.on_failure(100.0, 0.0);
    limiter.on_failure(101.0, 1.0);
    assert_eq!(limiter.rate, INITIAL_RATE * DECREASE_FACTOR);
    assert_eq!(acquired(&mut limiter, 2000.0, CallPriority::Required), 3);
    limiter.on_failure(2100.0, 2000.0);
    assert_eq!(acquired(&mut limiter, 4000.0, CallPriority::Required), 2);
}

/// The counter is down and comes back. Requests must not wait for it meanwhile, and once it is back the calls must not
/// take long to reach their former rate.
#[test]
fn the_counter_is_down_after_failures_in_a_row_and_half_of_the_rate_returns_with_it() {
    let mut limiter = CallLimiter::new(0.0);
    for failure in 1..=3 {
        assert!(!limiter.is_down());
        let now = f64::from(failure) * 100.0;
        limiter.on_failure(now, now);
    }
    assert!(limiter.is_down());
    limiter.on_success();
    assert!(!limiter.is_down());
    assert_eq!(
        limiter.rate,
        INITIAL_RATE / 2.0 * (1.0 + FAST_INCREASE) + ADDITIVE_INCREASE
    );
}
