//! When a client has to have sent what, on the paused clock.

use super::Client;
use std::time::Duration;
use tokio::time::{advance, Instant};

const SECOND: Duration = Duration::from_secs(1);

/// Silent clients go after 2.3 s, and whoever has connected has sent a complete request within 2.8 s.
#[tokio::test(start_paused = true)]
async fn a_new_client_is_closed_within_three_seconds_of_connecting() {
    let connected_at = Instant::now();
    let client = Client::new(None);
    assert_eq!(
        client.head_deadline(),
        Some(connected_at + Duration::from_millis(2300))
    );
    advance(2 * SECOND).await;
    client.bytes_read(b"x", Instant::now());
    assert_eq!(
        client.head_deadline(),
        Some(connected_at + Duration::from_millis(2800))
    );
    client.request_started();
    assert_eq!(client.head_deadline(), None);
    assert_eq!(
        client.request_deadline(),
        connected_at + Duration::from_millis(2800)
    );
}

/// On a connection that has rested the time runs from the head's first byte.
#[tokio::test(start_paused = true)]
async fn the_time_for_a_later_request_runs_from_its_first_byte() {
    let client = Client::new(None);
    client.bytes_read(b"x", Instant::now());
    client.request_started();
    client.request_complete();
    advance(SECOND).await;
    client.request_ended();
    let idle_since = Instant::now();
    assert_eq!(
        client.head_deadline(),
        Some(idle_since + Duration::from_millis(2300))
    );
    advance(2 * SECOND).await;
    let begun_at = Instant::now();
    client.bytes_read(b"x", begun_at);
    assert!(client.has_begun_head());
    assert_eq!(
        client.head_deadline(),
        Some(begun_at + Duration::from_millis(2300))
    );
    advance(SECOND).await;
    client.bytes_read(b"x", Instant::now());
    client.request_started();
    assert!(!client.has_begun_head());
    assert_eq!(
        client.request_deadline(),
        begun_at + Duration::from_millis(2800)
    );
}

/// What a client had sent before it was accepted may have come as long ago as the queue stalled.
#[tokio::test(start_paused = true)]
async fn the_first_bytes_of_a_client_that_waited_count_from_the_start_of_its_wait() {
    let backlog_since = Instant::now();
    advance(SECOND).await;
    let client = Client::new(Some(backlog_since));
    client.bytes_read(b"x", Instant::now());
    assert_eq!(client.last_arrival(), backlog_since);
    advance(SECOND).await;
    client.bytes_read(b"x", Instant::now());
    assert_eq!(client.last_arrival(), Instant::now());
}

/// Requests that came together are known to have come, whole or in part, however they were cut into pieces.
#[tokio::test(start_paused = true)]
async fn a_request_behind_another_one_is_known() {
    let read = |pieces: &[&str]| {
        let client = Client::new(None);
        for piece in pieces {
            client.bytes_read(piece.as_bytes(), Instant::now());
        }
        client.request_started();
        client.request_complete();
        client
    };
    let head = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    assert!(!read(&[head]).may_have_sent_more());
    assert!(!read(&[&head[..20], &head[20..27], &head[27..]]).may_have_sent_more());
    assert!(read(&[head, head]).may_have_sent_more());
    assert!(read(&[&head[..20], &(head[20..].to_owned() + head)]).may_have_sent_more());
    let client = read(&[head]);
    client.set_sent_ahead(1);
    assert!(client.may_have_sent_more());
    client.set_sent_ahead(0);
    client.bytes_read(b"G", Instant::now());
    assert!(client.may_have_sent_more());
}

/// A client is owed something until its response is written, and while it has sent something that is not served.
#[tokio::test(start_paused = true)]
async fn a_client_is_busy_until_its_response_is_written() {
    let client = Client::new(None);
    assert!(!client.is_busy());
    client.bytes_read(b"G", Instant::now());
    assert!(client.is_busy() && !client.is_owed_response());
    client.request_started();
    assert!(client.is_busy() && client.is_owed_response());
    client.request_complete();
    client.request_ended();
    assert!(
        client.is_busy() && client.is_owed_response(),
        "the response is not written"
    );
    assert!(!client.is_evictable(SECOND));
    client.responses_written();
    assert!(!client.is_busy() && client.is_evictable(SECOND));
    client.set_sent_ahead(1);
    assert!(client.is_busy());
}
