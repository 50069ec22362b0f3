//! Which starts are believed, on the paused clock.

use super::StartTimes;
use std::time::Duration;
use tokio::time::advance;

const NOW_MS: f64 = 1_700_000_000_000.0;
const HOUR_MS: f64 = 3_600_000.0;

#[tokio::test(start_paused = true)]
async fn news_of_a_start_long_past_is_a_start_of_now() {
    let mut times = StartTimes::default();
    assert_eq!(
        times.judge(NOW_MS - HOUR_MS, NOW_MS),
        NOW_MS - HOUR_MS,
        "the first list may be old"
    );
    assert_eq!(
        times.judge(NOW_MS + HOUR_MS, NOW_MS),
        NOW_MS,
        "nothing starts later than it is heard of"
    );
    times.synced();
    advance(Duration::from_secs(2)).await;
    assert_eq!(times.judge(NOW_MS - HOUR_MS, NOW_MS), NOW_MS);
    assert_eq!(
        times.judge(NOW_MS - 7000.0, NOW_MS),
        NOW_MS - 7000.0,
        "lists come late"
    );
    assert_eq!(times.judge(NOW_MS - 9000.0, NOW_MS), NOW_MS);
    assert_eq!(times.judge(0.0, NOW_MS), 0.0, "long past, and said to be");
    advance(Duration::from_secs(60)).await;
    assert_eq!(
        times.judge(NOW_MS - 60_000.0, NOW_MS),
        NOW_MS - 60_000.0,
        "discovery was silent since"
    );
}
