//! The deadlines of a client and what is owed to it, on the paused clock.

use super::Client;
use std::time::Duration;
use tokio::time::{advance, Instant};

const SECOND: Duration = Duration::from_secs(1);

/// A client connects and sends nothing, or a request that is never complete, and holds its slot. The protocol has it
/// get an error or a close within 3 s: a silent one after 2.3 s, any other 2.8 s after it connected.
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

/// A client begins a request on a connection that was idle for long. If its time counted from the last response, a
/// request in transmission would be cut off. It counts from the first byte of the head.
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

/// A client waits in the queue while accepting fails, with its request sent. Counted from when they are read, its bytes
/// would seem to have just arrived, and too much remaining time would be propagated. They count from the start of the
/// backlog; later ones from when they are read.
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

/// A client has a second request behind the first as the process ends. If the first response asked to close, the second
/// request would be lost. It is noticed, complete or in part, however the bytes were split.
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

/// The shutdown closes connections on which nothing is owed. If a client counted as idle while its response is being
/// written, or its next request is being read, it would lose them. It is busy from its first byte until its response is
/// written.
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
