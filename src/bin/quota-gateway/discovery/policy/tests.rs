use super::super::watch::IDLE_TIMEOUT;
use super::*;

/// The policy of one gateway out of `gateway_count`.
pub fn policy(gateway_count: u32, endpoints_polled: bool, seed: u64) -> WatchPolicy {
    let mut settings = Settings {
        gateway_count,
        endpoints_polled,
        ..Settings::default()
    };
    settings.rules.drain_grace_ms = 2000.0;
    WatchPolicy::new(&settings, seed)
}

/// Guards against a call that was written just before the agent recovered and is never answered. If the next call were
/// made too late, the gateway would keep sending requests to draining endpoints. The next call is answered within the
/// drain grace.
#[test]
fn an_agent_is_called_again_well_within_the_drain_grace() {
    let policy = policy(300, false, 1);
    let calls = policy.max_call_interval + policy.timeouts.response;
    assert!(
        policy.max_call_interval >= policy.timeouts.response && calls < Duration::from_millis(1500),
        "{calls:?}"
    );
}

/// Guards against a discovery service that sends invalid responses or events. Without a backoff the gateway would
/// request them in a loop; with a backoff that is too long it would miss valid ones later. Delays grow up to the
/// longest interval and are short again after a valid watch.
#[test]
fn invalid_responses_are_not_requested_in_a_loop() {
    for (endpoints_polled, watches) in [(false, false), (false, true), (true, true)] {
        let mut policy = policy(1, endpoints_polled, 1);
        let delays: Vec<_> = (0..20)
            .map(|_| {
                if watches {
                    policy.on_watch_ended(Duration::ZERO, true)
                } else {
                    policy.next_call_after_failure(Instant::now(), true) - Instant::now()
                }
            })
            .collect();
        let longest = PROPAGATION_LIMIT - RESPONSE_ALLOWANCE;
        assert!(delays.iter().all(|delay| *delay <= longest), "{delays:?}");
        assert!(
            delays[8..].iter().sum::<Duration>() > 12 * longest / 4,
            "{delays:?}"
        );
        let _ = policy.on_watch_ended(PROPAGATION_LIMIT, false);
        let longest_delay = if endpoints_polled {
            MAX_REOPEN_DELAY
        } else {
            AGENT_RETRY_DELAY
        };
        assert!(policy.on_watch_ended(PROPAGATION_LIMIT, false) <= longest_delay);
    }
}

/// Guards against an overload after a restart of the discovery service, which ends the watches of 300 gateways at once.
/// The watches are reopened at random times, all within the propagation limit.
#[test]
fn watches_on_a_shared_service_that_end_together_are_reopened_spread_out() {
    let mut reopened = [0; 20];
    for seed in 0..300 {
        let delay = policy(300, true, seed).on_watch_ended(Duration::from_secs(60), false);
        assert!(IDLE_TIMEOUT + delay < Duration::from_secs(5));
        reopened[(delay.as_millis() / 100) as usize] += 1;
    }
    assert!(reopened.iter().all(|n| *n <= 30), "{reopened:?}");
}
