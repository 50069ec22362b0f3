use super::*;

const MAX_INTERVAL: Duration = Duration::from_secs(4);

/// For each gateway, the times of its calls in the first 20 s of an outage that starts for all gateways at once.
fn attempt_times(gateway_count: u32) -> Vec<Vec<Duration>> {
    let attempts = |seed| {
        let mut call_schedule = CallSchedule::new(gateway_count, MAX_INTERVAL, seed);
        let next = |at: &Duration| Some(*at + call_schedule.delay_after_failure(Duration::ZERO));
        std::iter::successors(Some(Duration::ZERO), next)
            .take_while(|at| *at < 5 * MAX_INTERVAL)
            .collect()
    };
    (0..gateway_count.into()).map(attempts).collect()
}

/// Guards against retries at a short fixed interval after a shared service has failed for all gateways at once: a large
/// fleet would send more calls than the service can handle, and none would succeed. The calls of the fleet are spread
/// over the maximum interval.
#[test]
fn gateways_that_fail_together_do_not_retry_together() {
    for gateway_count in [40, 100, 300, 720] {
        let mut per_second = [0.0; 20];
        for at in attempt_times(gateway_count).concat() {
            per_second[at.as_secs() as usize] += 1.0;
        }
        let even_rate = f64::from(gateway_count) / MAX_INTERVAL.as_secs_f64();
        let max_rate = even_rate + 4.0 * even_rate.sqrt();
        assert!(
            per_second[1..].iter().all(|n| *n <= max_rate),
            "{gateway_count}: {per_second:?}, an even rate would be {even_rate}"
        );
    }
}

/// Guards against a gateway that waits too long for its next attempt after the service has recovered, and so misses
/// changes past the propagation limit. No gateway waits longer than the maximum interval.
#[test]
fn no_gateway_waits_longer_than_the_maximum_interval() {
    for gateway_count in [1, 3, 40, 300, 720] {
        for attempts in attempt_times(gateway_count) {
            assert!(
                attempts
                    .windows(2)
                    .all(|pair| pair[1] - pair[0] <= MAX_INTERVAL),
                "{gateway_count}: {attempts:?}"
            );
            assert!(
                attempts.last().unwrap() >= &(4 * MAX_INTERVAL),
                "attempts must continue"
            );
        }
    }
}

#[test]
fn a_few_gateways_retry_often() {
    let attempts = attempt_times(3).concat();
    assert!((180..=330).contains(&attempts.len()), "{}", attempts.len());
}

#[test]
fn backoff_grows_up_to_its_maximum_and_a_success_resets_it() {
    let initial = Duration::from_millis(50);
    let mut backoff = Backoff::new(initial, MAX_INTERVAL, 1);
    let delays: Vec<_> = (0..50).map(|_| backoff.next_delay()).collect();
    assert!(
        delays
            .iter()
            .all(|delay| *delay >= initial / 2 && *delay <= MAX_INTERVAL),
        "{delays:?}"
    );
    assert!(
        delays.iter().any(|delay| *delay > MAX_INTERVAL / 2),
        "{delays:?}"
    );
    assert!(
        delays.iter().sum::<Duration>() > 20 * MAX_INTERVAL / 2,
        "{delays:?}"
    );
    backoff.reset();
    assert!(backoff.next_delay() <= initial);
}
