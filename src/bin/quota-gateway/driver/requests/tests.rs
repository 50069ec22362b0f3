//! When an attempt may be sent, what answers a request, and when it is no longer open.

use super::{AttemptLimits, EndpointResponse, NewRequest, OpenRequests, StartedAttempt};
use crate::driver::messages::{FinalResponse, ForwardedRequest};
use crate::socket::WeakSocket;
use bytes::Bytes;
use quota_gateway::{Outcome, RequestId};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

const TIMEOUT: Duration = Duration::from_secs(1);
const MAX_UNITS: f64 = 4.0;

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9))
}

fn open_requests(hedging: bool) -> OpenRequests {
    OpenRequests::new(
        1,
        AttemptLimits {
            max_attempts: 2,
            hedging,
            max_units: MAX_UNITS,
        },
    )
}

fn insert(requests: &mut OpenRequests) -> (RequestId, oneshot::Receiver<FinalResponse>) {
    let (client, response) = oneshot::channel();
    let forwarded = ForwardedRequest {
        head: Vec::new(),
        body: Vec::new(),
        at_most_once: true,
    };
    let deadline = Instant::now() + TIMEOUT;
    let new = NewRequest {
        transaction_id: 7,
        forwarded,
        deadline,
        client_deadline: deadline,
        client_socket: WeakSocket::default(),
    };
    (requests.insert(new, client), response)
}

fn start(requests: &mut OpenRequests, id: RequestId) -> Option<StartedAttempt> {
    requests
        .start_attempt(id, Some(address()), TIMEOUT, TIMEOUT)
        .ok()
}

fn served(units: f64, body: &'static str) -> EndpointResponse {
    EndpointResponse {
        units: Some(units),
        content_type: None,
        body: Bytes::from_static(body.as_bytes()),
    }
}

#[test]
fn an_attempt_is_sent_only_within_the_limits() {
    for (hedging, second_is_sent) in [(false, false), (true, true)] {
        let mut requests = open_requests(hedging);
        let (id, _response) = insert(&mut requests);
        assert!(start(&mut requests, id).is_some());
        assert_eq!(
            start(&mut requests, id).is_some(),
            second_is_sent,
            "beside another one"
        );
        requests.finish_attempt(id, 0, Outcome::NotSent, None);
        assert!(
            start(&mut requests, id).is_none(),
            "past the limit: one that was not sent counts as well"
        );
    }
    let mut requests = open_requests(false);
    let (id, _response) = insert(&mut requests);
    assert!(
        requests.start_attempt(id, None, TIMEOUT, TIMEOUT).is_err(),
        "without an address"
    );
    assert!(
        requests
            .start_attempt(id, Some(address()), Duration::ZERO, TIMEOUT)
            .is_err(),
        "out of time"
    );
    assert!(start(&mut requests, id + 1).is_none(), "of no open request");
}

#[test]
fn the_first_served_attempt_answers_the_request() {
    let mut requests = open_requests(true);
    let (id, mut response) = insert(&mut requests);
    start(&mut requests, id).unwrap();
    start(&mut requests, id).unwrap();
    let first = requests
        .finish_attempt(id, 1, Outcome::Success, Some(served(MAX_UNITS, "first")))
        .unwrap();
    assert!(first.request_answered);
    assert_eq!(first.actual_units, Some(MAX_UNITS));
    let second = requests
        .finish_attempt(id, 0, Outcome::Success, Some(served(1.0, "second")))
        .unwrap();
    assert_eq!(second.actual_units, None, "it did not answer the request");
    assert!(
        matches!(response.try_recv(), Ok(FinalResponse::Success { body, .. }) if body == "first")
    );
    assert!(requests.record(id).is_none());
}

#[test]
fn units_beyond_what_a_request_can_take_are_ignored() {
    let mut requests = open_requests(false);
    let (id, _response) = insert(&mut requests);
    start(&mut requests, id).unwrap();
    let finished = requests
        .finish_attempt(id, 0, Outcome::Success, Some(served(MAX_UNITS + 1.0, "")))
        .unwrap();
    assert!(finished.request_answered);
    assert_eq!(finished.actual_units, None);
}

#[test]
fn a_response_cancels_only_attempts_that_are_not_written() {
    let mut requests = open_requests(true);
    let (id, _response) = insert(&mut requests);
    let mut connecting = start(&mut requests, id).unwrap();
    let mut written = start(&mut requests, id).unwrap();
    written.written.set(true);
    requests.respond(id, FinalResponse::Failed);
    assert!(connecting.cancelled.try_recv().is_ok());
    assert!(written.cancelled.try_recv().is_err());
    requests.cancel_attempt(id, written.number);
    assert!(
        written.cancelled.try_recv().is_ok(),
        "the decision library cancels it all the same"
    );
}

#[test]
fn an_answered_request_stays_open_until_its_last_attempt_has_ended() {
    let mut requests = open_requests(false);
    let (id, _response) = insert(&mut requests);
    start(&mut requests, id).unwrap();
    requests.respond(id, FinalResponse::Failed);
    assert!(requests.is_answered(id));
    assert!(requests.record(id).is_some());
    assert!(requests.unanswered().is_empty());
    assert!(
        requests
            .finish_attempt(id, 0, Outcome::NotSent, None)
            .unwrap()
            .request_answered
    );
    assert!(requests.record(id).is_none());
    assert!(requests
        .finish_attempt(id, 0, Outcome::NotSent, None)
        .is_none());
}

/// What may have been executed and must not be executed again is on record until the request is no longer open.
#[test]
fn a_request_that_may_have_run_is_on_record() {
    for (outcome, may_have_executed) in [
        (Outcome::Rejected, false),
        (Outcome::ConnectFailed, false),
        (Outcome::ConnectionReset, true),
    ] {
        let mut requests = open_requests(false);
        let (id, _response) = insert(&mut requests);
        start(&mut requests, id).unwrap();
        requests.finish_attempt(id, 0, outcome, None);
        let record = requests.record(id).unwrap();
        assert_eq!(
            (record.must_not_retry, record.ended_at),
            (may_have_executed, None)
        );
        requests.respond(id, FinalResponse::Failed);
        assert!(requests.record(id).is_none());
    }
}

/// A request that is ended from outside is refused only if no endpoint can have executed it.
#[test]
fn what_was_never_written_has_not_run() {
    let mut requests = open_requests(false);
    let (id, _response) = insert(&mut requests);
    assert_eq!(requests.unanswered(), [id]);
    assert!(!requests.may_have_executed(id));
    let attempt = start(&mut requests, id).unwrap();
    assert!(!requests.may_have_executed(id), "not written yet");
    attempt.written.set(true);
    assert!(requests.may_have_executed(id));
    requests.finish_attempt(id, 0, Outcome::Rejected, None);
    assert!(!requests.may_have_executed(id), "turned away");
    start(&mut requests, id).unwrap();
    requests.finish_attempt(id, 1, Outcome::ConnectionReset, None);
    assert!(requests.may_have_executed(id));
    assert!(requests.may_have_executed(id + 1), "nothing is known of it");
}
