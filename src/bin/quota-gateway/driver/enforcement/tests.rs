//! What stands against starting and against writing an attempt.

use super::{
    enforce_before_start, enforce_before_write, refusal_outcome, AttemptLimits, AttemptToStart,
    AttemptToWrite, StartRefusal, WriteRefusal,
};
use crate::driver::registered_request::RequestRecord;
use crate::socket::PeekResult;
use quota_gateway::Outcome;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

const LIMITS: AttemptLimits = AttemptLimits {
    max_attempts: 3,
    hedging: false,
};

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn attempt_to_start() -> AttemptToStart {
    AttemptToStart {
        request_closed: false,
        earlier_attempts: 2,
        attempt_in_flight: false,
        time_left: Duration::from_nanos(1),
        endpoint_addr: Some(addr(9)),
    }
}

/// The library requests an attempt, while its view of the request is outdated or wrong. The attempt would be executed for
/// a client that has its response, or beside another one. It must not start, and the first reason against it is given.
#[test]
fn an_outdated_attempt_is_not_started() {
    let mut attempt = attempt_to_start();
    assert_eq!(enforce_before_start(&LIMITS, &attempt), Ok(addr(9)));
    attempt.endpoint_addr = None;
    let refusal = |attempt: &AttemptToStart| enforce_before_start(&LIMITS, attempt).unwrap_err();
    assert_eq!(refusal(&attempt), StartRefusal::EndpointRemoved);
    attempt.attempt_in_flight = true;
    assert_eq!(refusal(&attempt), StartRefusal::AttemptInFlight);
    attempt.earlier_attempts = 3;
    assert_eq!(refusal(&attempt), StartRefusal::AttemptLimitReached);
    attempt.time_left = Duration::ZERO;
    assert_eq!(refusal(&attempt), StartRefusal::DeadlineExceeded);
    attempt.request_closed = true;
    assert_eq!(refusal(&attempt), StartRefusal::RequestClosed);
}

/// While a connection is found, the client, the endpoint and the process may change. An attempt written all the same
/// would be executed without a reader, or twice, or on an endpoint that drains. It must be refused, and only where the
/// endpoint alone stands against it may another one be tried.
#[test]
fn an_attempt_is_not_written_once_something_stands_against_it() {
    let now = Instant::now();
    let mut attempt = AttemptToWrite {
        record: Some(RequestRecord {
            transaction_id: 1,
            client_deadline: now,
            ended_at: None,
            must_not_retry: false,
        }),
        client: PeekResult::Data,
        process_may_forward: true,
        start_deadline: now + Duration::from_nanos(1),
        now,
        endpoint_is_ready: true,
        endpoint_addr: Some(addr(9)),
        connected_addr: addr(9),
    };
    assert_eq!(enforce_before_write(&attempt), Ok(()));
    let assert_refused = |attempt: &AttemptToWrite, refusal: WriteRefusal, outcome: Outcome| {
        assert_eq!(enforce_before_write(attempt), Err(refusal));
        assert_eq!(refusal_outcome(refusal), outcome, "{refusal:?}");
    };
    attempt.endpoint_addr = Some(addr(10));
    assert_refused(&attempt, WriteRefusal::EndpointMoved, Outcome::Rejected);
    attempt.endpoint_is_ready = false;
    let not_ready = WriteRefusal::EndpointNotReady;
    assert_refused(&attempt, not_ready, Outcome::Rejected);
    attempt.start_deadline = now;
    let window_over = WriteRefusal::RetryWindowOver;
    assert_refused(&attempt, window_over, Outcome::NotSent);
    attempt.process_may_forward = false;
    assert_refused(&attempt, WriteRefusal::ShuttingDown, Outcome::NotSent);
    attempt.record = attempt.record.map(|record| RequestRecord {
        must_not_retry: true,
        ..record
    });
    assert_refused(&attempt, WriteRefusal::MayHaveExecuted, Outcome::NotSent);
    attempt.client = PeekResult::EndOfStream;
    let disconnected = WriteRefusal::ClientDisconnected;
    assert_refused(&attempt, disconnected, Outcome::NotSent);
    attempt.record = attempt.record.map(|record| RequestRecord {
        ended_at: Some(now),
        ..record
    });
    assert_refused(&attempt, WriteRefusal::RequestClosed, Outcome::NotSent);
    attempt.record = None;
    assert_refused(&attempt, WriteRefusal::RequestClosed, Outcome::NotSent);
}
