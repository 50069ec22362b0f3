use super::*;
use crate::api::EndpointState;

const NOW: f64 = 1_700_000_000_000.0;
const HOUR_MS: f64 = 3_600_000.0;

fn rules() -> Rules {
    Rules {
        slow_start_ms: 15_000.0,
        slow_start_min_capacity: 0.2,
        overload_multiple: 4.0,
        ..Rules::default()
    }
}

fn entry(started_at: f64) -> Endpoint {
    Endpoint {
        id: 1,
        hash_key: 1,
        zone: 0,
        kind: 0,
        cell: 0,
        state: EndpointState::Ready,
        weight: 1.0,
        started_at,
    }
}

/// The clock of an endpoint's machine is ahead, so the endpoint seems to start in the future. The endpoint
/// would stay in slow start for as long as the clocks differ, and get hardly any requests. The endpoint has
/// to warm up from now on, for no longer than any other endpoint.
#[test]
fn a_start_in_the_future_counts_as_now() {
    for ahead_ms in [1.0, 5000.0, HOUR_MS] {
        let ramp =
            ramp(NOW, &rules(), &entry(NOW + ahead_ms), false).expect("the endpoint warms up");
        assert_eq!(
            (ramp.start, ramp.duration_ms),
            (NOW, 15_000.0),
            "{ahead_ms} ms ahead"
        );
    }
    assert_eq!(
        ramp(NOW, &rules(), &entry(NOW - 1000.0), false)
            .expect("the endpoint warms up")
            .start,
        NOW - 1000.0
    );
    assert!(ramp(NOW, &rules(), &entry(NOW - 15_000.0), false).is_none());
}

#[test]
fn tokens_are_refilled_at_a_share_of_the_warm_rate_up_to_one_token() {
    let ramp = LinearRamp {
        start: 1000.0,
        duration_ms: 100.0,
        initial_share: 0.2,
    };
    let mut warm_up = WarmUp::new(Some(ramp), 0.0, 1000.0);
    warm_up.refill(1050.0, 10.0);
    // 50 ms at 10 tokens per second and a share of 0.6 give 0.3 tokens.
    assert!(!warm_up.has_token());
    warm_up.refill(2050.0, 0.7);
    assert!(warm_up.has_token(), "0.3 + 0.7");
    warm_up.refill(9000.0, 100.0);
    warm_up.consume_token();
    assert!(!warm_up.has_token(), "only one token is held");
}
