//! Outages, polling and reloads delay notices. Without these delays the checker would report a gateway for not
//! following an endpoint list that it could not have received.

use super::{NoticeTimes, FAILURE_GRACE, RELOAD_GRACE, SILENCE_GRACE, TRANSFER_TIME};
use stand_ins::service_mode::ServiceMode;
use std::time::Duration;
use tokio::time::{advance, Instant};

const GATEWAY: usize = 3;
const OUTAGE: Duration = Duration::from_secs(2);

#[tokio::test(start_paused = true)]
async fn a_change_is_notified_immediately_or_after_the_poll() {
    let changed_at = Instant::now();
    let pushed = NoticeTimes::new(false);
    assert_eq!(pushed.notified_at(GATEWAY, changed_at), Some(changed_at));
    let polled = NoticeTimes::new(true);
    let expected = changed_at + FAILURE_GRACE;
    assert_eq!(polled.notified_at(GATEWAY, changed_at), Some(expected));
}

/// Discovery is silent while an endpoint begins to drain. The gateways keep sending requests to the endpoint until
/// discovery is available again, which is not a fault of the gateways.
#[tokio::test(start_paused = true)]
async fn an_outage_delays_notices_until_after_its_end() {
    let notices = NoticeTimes::new(false);
    let long_before = Instant::now();
    advance(OUTAGE).await;
    let just_before = Instant::now() - TRANSFER_TIME;
    notices.record_discovery_mode(ServiceMode::Silent);
    assert_eq!(notices.notified_at(GATEWAY, just_before), None);
    advance(OUTAGE).await;
    notices.record_discovery_mode(ServiceMode::Closes);
    notices.record_discovery_mode(ServiceMode::Available);
    let expected = Instant::now() + SILENCE_GRACE;
    assert_eq!(notices.notified_at(GATEWAY, just_before), Some(expected));
    assert_eq!(notices.notified_at(GATEWAY, long_before), Some(long_before));
    advance(OUTAGE).await;
    notices.record_discovery_mode(ServiceMode::Rejects);
    notices.record_discovery_mode(ServiceMode::Available);
    let now = Instant::now();
    assert_eq!(notices.notified_at(GATEWAY, now), Some(now + FAILURE_GRACE));
}

/// A gateway is reloaded with a new address of discovery, and has received no list from that address yet.
#[tokio::test(start_paused = true)]
async fn a_reload_delays_only_the_notices_of_the_reloaded_gateway() {
    let notices = NoticeTimes::new(false);
    let reloaded_at = Instant::now();
    notices.record_reload(GATEWAY);
    advance(RELOAD_GRACE / 2).await;
    let changed_at = Instant::now();
    let expected = reloaded_at + RELOAD_GRACE;
    assert_eq!(notices.notified_at(GATEWAY, changed_at), Some(expected));
    assert_eq!(
        notices.notified_at(GATEWAY + 1, changed_at),
        Some(changed_at)
    );
    advance(RELOAD_GRACE).await;
    let later = Instant::now();
    assert_eq!(notices.notified_at(GATEWAY, later), Some(later));
}
