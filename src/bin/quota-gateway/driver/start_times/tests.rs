//! Tests the estimates for start times that wrong clocks state, on the paused clock.

use super::StartTimes;
use std::time::Duration;
use tokio::time::advance;

const NOW_MS: f64 = 1_700_000_000_000.0;
const HOUR_MS: f64 = 3_600_000.0;

/// The clock of an endpoint's machine is wrong, and the list states a start that is long past or in the future. If that
/// start were used as stated, the endpoint would skip slow start. A start that discovery has only just reported must
/// count as recent.
#[tokio::test(start_paused = true)]
async fn a_newly_reported_start_that_is_long_past_counts_as_now() {
    let mut times = StartTimes::default();
    assert_eq!(
        times.estimate(NOW_MS - HOUR_MS, NOW_MS),
        NOW_MS - HOUR_MS,
        "the endpoint may have started long before the first list"
    );
    assert_eq!(
        times.estimate(NOW_MS + HOUR_MS, NOW_MS),
        NOW_MS,
        "a start is never in the future"
    );
    times.mark_synced();
    advance(Duration::from_secs(2)).await;
    assert_eq!(times.estimate(NOW_MS - HOUR_MS, NOW_MS), NOW_MS);
    assert_eq!(
        times.estimate(NOW_MS - 7000.0, NOW_MS),
        NOW_MS - 7000.0,
        "a change may be reported this late"
    );
    assert_eq!(times.estimate(NOW_MS - 9000.0, NOW_MS), NOW_MS);
    assert_eq!(times.estimate(0.0, NOW_MS), 0.0, "0 means long past");
    advance(Duration::from_secs(60)).await;
    assert_eq!(
        times.estimate(NOW_MS - 60_000.0, NOW_MS),
        NOW_MS - 60_000.0,
        "discovery has not reported since"
    );
}
