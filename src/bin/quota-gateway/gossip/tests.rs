use super::*;
use std::time::Duration;

/// Guards against a faulty gateway that floods its peers with messages, whose handling would delay requests. Messages
/// above the rate are dropped; a burst of one second's messages is allowed.
#[tokio::test(start_paused = true)]
async fn messages_of_one_second_are_admitted_at_once_and_later_ones_at_the_rate() {
    let mut limiter = RateLimiter::new(60.0);
    assert_eq!((0..100).filter(|_| limiter.admit()).count(), 60);
    tokio::time::advance(Duration::from_millis(100)).await;
    assert_eq!((0..100).filter(|_| limiter.admit()).count(), 6);
    tokio::time::advance(Duration::from_secs(10)).await;
    assert_eq!((0..100).filter(|_| limiter.admit()).count(), 60);
}
