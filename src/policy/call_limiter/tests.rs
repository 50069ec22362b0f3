use super::*;

/// Returns the number of calls of this priority that are permitted now.
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

/// The counter is overloaded for a short time, and all calls in its queue fail. If each of them cut the rate,
/// hardly any calls would be left. Together they count as one decrease.
#[test]
fn failures_of_calls_made_at_the_same_time_decrease_the_rate_once() {
    let mut limiter = CallLimiter::new(0.0);
    acquired(&mut limiter, 0.0, CallPriority::Required);
    limiter.on_failure(100.0, 0.0);
    limiter.on_failure(101.0, 1.0);
    assert_eq!(limiter.rate, INITIAL_RATE * DECREASE_FACTOR);
    assert_eq!(acquired(&mut limiter, 2000.0, CallPriority::Required), 3);
    limiter.on_failure(2100.0, 2000.0);
    assert_eq!(acquired(&mut limiter, 4000.0, CallPriority::Required), 2);
}

/// The counter fails and recovers. Requests must not wait for it while it is down, and the calls must not
/// take long to reach their former rate once it has recovered.
#[test]
fn consecutive_failures_mark_the_counter_as_down_and_a_success_restores_half_of_the_rate() {
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
