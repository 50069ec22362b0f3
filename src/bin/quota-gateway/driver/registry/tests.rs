//! Which attempts are started, what answers a request, and when it is no longer open.

use super::{EndpointResponse, NewRequest, RequestRegistry, StartedAttempt};
use crate::driver::enforcement::AttemptLimits;
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

fn new_registry(hedging: bool) -> RequestRegistry {
    RequestRegistry::new(
        1,
        AttemptLimits {
            max_attempts: 2,
            hedging,
        },
        MAX_UNITS,
    )
}

fn insert(registry: &mut RequestRegistry) -> (RequestId, oneshot::Receiver<FinalResponse>) {
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
    (registry.insert(new, client), response)
}

fn start(registry: &mut RequestRegistry, id: RequestId) -> Option<StartedAttempt> {
    registry
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

/// A fault of the library requests more attempts than the settings allow, a second one at once, or one without an
/// endpoint or without time. Endpoints would execute requests too often. Each such attempt must be refused.
#[test]
fn an_attempt_is_sent_only_within_the_limits() {
    for (hedging, second_is_sent) in [(false, false), (true, true)] {
        let mut registry = new_registry(hedging);
        let (id, _response) = insert(&mut registry);
        assert!(start(&mut registry, id).is_some());
        assert_eq!(
            start(&mut registry, id).is_some(),
            second_is_sent,
            "beside another one"
        );
        registry.finish_attempt(id, 0, Outcome::NotSent, None);
        assert!(
            start(&mut registry, id).is_none(),
            "past the limit: one that was not sent counts as well"
        );
    }
    let mut registry = new_registry(false);
    let (id, _response) = insert(&mut registry);
    assert!(
        registry.start_attempt(id, None, TIMEOUT, TIMEOUT).is_err(),
        "without an address"
    );
    assert!(
        registry
            .start_attempt(id, Some(address()), Duration::ZERO, TIMEOUT)
            .is_err(),
        "out of time"
    );
    assert!(start(&mut registry, id + 1).is_none(), "of no open request");
}

/// Two hedged attempts are served. The client must get one final response, that of the first, and its customer must
/// be charged once.
#[test]
fn the_first_served_attempt_answers_the_request() {
    let mut registry = new_registry(true);
    let (id, mut response) = insert(&mut registry);
    start(&mut registry, id).unwrap();
    start(&mut registry, id).unwrap();
    let first = registry
        .finish_attempt(id, 1, Outcome::Success, Some(served(MAX_UNITS, "first")))
        .unwrap();
    assert!(first.request_closed);
    assert_eq!(first.actual_units, Some(MAX_UNITS));
    let second = registry
        .finish_attempt(id, 0, Outcome::Success, Some(served(1.0, "second")))
        .unwrap();
    assert_eq!(second.actual_units, None, "it did not answer the request");
    assert!(
        matches!(response.try_recv(), Ok(FinalResponse::Success { body, .. }) if body == "first")
    );
    assert!(registry.record(id).is_none());
}

/// A faulty endpoint reports more units than one request can take, and would use up the quota of its customer. The
/// number must be ignored, and the response delivered.
#[test]
fn units_beyond_what_a_request_can_take_are_ignored() {
    let mut registry = new_registry(false);
    let (id, _response) = insert(&mut registry);
    start(&mut registry, id).unwrap();
    let finished = registry
        .finish_attempt(id, 0, Outcome::Success, Some(served(MAX_UNITS + 1.0, "")))
        .unwrap();
    assert!(finished.request_closed);
    assert_eq!(finished.actual_units, None);
}

/// A request is answered while attempts are in flight. One that is not written yet would be executed for nobody and
/// must be cancelled. One that is written is left to the library, as the settings may forbid cancelling it.
#[test]
fn a_response_cancels_only_attempts_that_are_not_written() {
    let mut registry = new_registry(true);
    let (id, _response) = insert(&mut registry);
    let mut connecting = start(&mut registry, id).unwrap();
    let mut written = start(&mut registry, id).unwrap();
    written.written.set(true);
    registry.respond(id, FinalResponse::Failed);
    assert!(connecting.cancelled.try_recv().is_ok());
    assert!(written.cancelled.try_recv().is_err());
    registry.cancel_attempt(id, written.number);
    assert!(
        written.cancelled.try_recv().is_ok(),
        "the decision library cancels it all the same"
    );
}

/// An attempt ends after its request was answered. Its end must still find the request, as the rules on sending are
/// checked against it, and the request must be removed afterwards, or the registry would grow without bound.
#[test]
fn an_answered_request_stays_open_until_its_last_attempt_has_ended() {
    let mut registry = new_registry(false);
    let (id, _response) = insert(&mut registry);
    start(&mut registry, id).unwrap();
    registry.respond(id, FinalResponse::Failed);
    assert!(registry.is_closed(id));
    assert!(registry.record(id).is_some());
    assert!(registry.unanswered().is_empty());
    assert!(
        registry
            .finish_attempt(id, 0, Outcome::NotSent, None)
            .unwrap()
            .request_closed
    );
    assert!(registry.record(id).is_none());
    assert!(registry
        .finish_attempt(id, 0, Outcome::NotSent, None)
        .is_none());
}

/// An attempt ends without a response, as its connection was reset. The endpoint may have executed it, and a retry of
/// a request that must be executed once could be the second execution. That must be on record for as long as the
/// request is open.
#[test]
fn a_request_that_may_have_executed_is_on_record() {
    for (outcome, may_have_executed) in [
        (Outcome::Rejected, false),
        (Outcome::ConnectFailed, false),
        (Outcome::ConnectionReset, true),
    ] {
        let mut registry = new_registry(false);
        let (id, _response) = insert(&mut registry);
        start(&mut registry, id).unwrap();
        registry.finish_attempt(id, 0, outcome, None);
        let record = registry.record(id).unwrap();
        assert_eq!(
            (record.must_not_retry, record.ended_at),
            (may_have_executed, None)
        );
        registry.respond(id, FinalResponse::Failed);
        assert!(registry.record(id).is_none());
    }
}

/// The process ends while requests are open. A client that is refused sends its request again, to another gateway, so
/// that a request must be refused only if no endpoint can have executed it.
#[test]
fn what_was_never_written_was_not_executed() {
    let mut registry = new_registry(false);
    let (id, _response) = insert(&mut registry);
    assert_eq!(registry.unanswered(), [id]);
    assert!(!registry.may_have_executed(id));
    let attempt = start(&mut registry, id).unwrap();
    assert!(!registry.may_have_executed(id), "not written yet");
    attempt.written.set(true);
    assert!(registry.may_have_executed(id));
    registry.finish_attempt(id, 0, Outcome::Rejected, None);
    assert!(!registry.may_have_executed(id), "rejected");
    start(&mut registry, id).unwrap();
    registry.finish_attempt(id, 1, Outcome::ConnectionReset, None);
    assert!(registry.may_have_executed(id));
    assert!(registry.may_have_executed(id + 1), "nothing is known of it");
}
