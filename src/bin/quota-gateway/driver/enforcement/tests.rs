//! Tests which conditions prevent an attempt from being started or written.

use super::{
    enforce_before_start, enforce_before_write, refusal_outcome, AttemptLimits, AttemptToStart,
    AttemptToWrite, StartRefusal, WriteRefusal,
};
use crate::driver::registered_request::RequestRecord;
use crate::socket::PeekResult;
use crate::upstream::Instance;
use quota_gateway::Outcome;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

const LIMITS: AttemptLimits = AttemptLimits {
    max_attempts: 3,
    hedging: false,
};

fn instance(port: u16) -> Instance {
    Instance {
        addr: SocketAddr::from(([127, 0, 0, 1], port)),
        started_ms: 0.0,
    }
}

fn attempt_to_start() -> AttemptToStart {
    AttemptToStart {
        request_closed: false,
        earlier_attempts: 2,
        attempt_in_flight: false,
        time_left: Duration::from_nanos(1),
        instance: Some(instance(9)),
    }
}

/// The library may request an attempt while its view of the request is outdated or wrong. The endpoint would execute
/// the attempt for a client that already has its response, or concurrently with another attempt. The attempt must not
/// start, and the error must name the first reason that applies.
#[test]
fn an_outdated_attempt_is_not_started() {
    let mut attempt = attempt_to_start();
    assert_eq!(enforce_before_start(&LIMITS, &attempt), Ok(instance(9)));
    attempt.instance = None;
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

/// The client, the endpoint and the process may change while the pool finds a connection. An attempt that is written
/// even so would be executed although no client waits for its response, executed twice, or sent to an endpoint that
/// drains. The attempt must be refused. Another endpoint may be tried only if the refusal concerns the endpoint alone.
#[test]
fn an_attempt_that_must_not_be_sent_is_not_written() {
    let now = Instant::now();
    let mut attempt = AttemptToWrite {
        record: Some(RequestRecord {
            transaction_id: 1,
            client_deadline: now,
            ended_at: None,
            must_not_retry: false,
        }),
        client_peek: PeekResult::Data,
        process_may_forward: true,
        start_deadline: now + Duration::from_nanos(1),
        now,
        endpoint_is_ready: true,
        instance: Some(instance(9)),
        connected_instance: instance(9),
    };
    assert_eq!(enforce_before_write(&attempt), Ok(()));
    let assert_refused = |attempt: &AttemptToWrite, refusal: WriteRefusal, outcome: Outcome| {
        assert_eq!(enforce_before_write(attempt), Err(refusal));
        assert_eq!(refusal_outcome(refusal), outcome, "{refusal:?}");
    };
    let restarted = Instance {
        started_ms: 1.0,
        ..instance(9)
    };
    attempt.instance = Some(restarted);
    assert_refused(&attempt, WriteRefusal::EndpointMoved, Outcome::Rejected);
    attempt.instance = Some(instance(10));
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
    attempt.client_peek = PeekResult::EndOfStream;
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
