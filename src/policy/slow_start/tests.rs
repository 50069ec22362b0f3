//! Slow start where the clocks of this machine and of the endpoint's differ.

use super::ramp;
use crate::api::{Endpoint, EndpointState, Rules};

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

/// An endpoint can't have started later than it was heard of: one whose start lies ahead is cold, for no longer than
/// any other.
#[test]
fn a_start_that_lies_ahead_is_taken_for_now() {
    for ahead_ms in [1.0, 5000.0, HOUR_MS] {
        let ramp = ramp(NOW, &rules(), &entry(NOW + ahead_ms), false).expect("it is cold");
        assert_eq!(
            (ramp.start, ramp.duration_ms),
            (NOW, 15_000.0),
            "{ahead_ms} ms ahead"
        );
    }
    assert_eq!(
        ramp(NOW, &rules(), &entry(NOW - 1000.0), false)
            .expect("it is cold")
            .start,
        NOW - 1000.0
    );
    assert!(ramp(NOW, &rules(), &entry(NOW - 15_000.0), false).is_none());
}
