//! Tests which attempts are started, which attempt answers a request, and when a request is no longer open.

use super::{EndpointResponse, NewRequest, RequestRegistry, StartedAttempt};
use crate::driver::enforcement::AttemptLimits;
use crate::driver::messages::{FinalResponse, ForwardedRequest};
use crate::memory::StoredBody;
use crate::socket::WeakSocket;
use crate::upstream::Instance;
use quota_gateway::{Outcome, RequestId};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

const TIMEOUT: Duration = Duration::from_secs(1);
const MAX_UNITS: f64 = 4.0;

fn instance() -> Instance {
    Instance {
        addr: SocketAddr::from(([127, 0, 0, 1], 9)),
        started_ms: 0.0,
    }
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
    let (response_sender, response) = oneshot::channel();
    let forwarded = ForwardedRequest {
        head: Vec::new(),
        body: Rc::default(),
        at_most_once: true,
    };
    let deadline = Instant::now() + TIMEOUT;
    let request = NewRequest {
        transaction_id: 7,
        forwarded,
        deadline,
        client_deadline: deadline,
        client_socket: WeakSocket::default(),
    };
    (registry.insert(request, response_sender), response)
}

fn start(registry: &mut RequestRegistry, id: RequestId) -> Option<StartedAttempt> {
    registry
        .start_attempt(id, Some(instance()), TIMEOUT, TIMEOUT)
        .ok()
}

fn served(units: f64, body: &'static str) -> EndpointResponse {
    EndpointResponse {
        units: Some(units),
        content_type: None,
        body: StoredBody::from(body),
    }
}

/// A faulty library may request more attempts than the settings allow, a second one at once, or one without an endpoint
/// or without time. Endpoints would execute requests too often. Each such attempt must be refused.
#[test]
fn an_attempt_is_sent_only_within_the_limits() {
    for (hedging, second_is_sent) in [(false, false), (true, true)] {
        let mut registry = new_registry(hedging);
        let (id, _response) = insert(&mut registry);
        assert!(start(&mut registry, id).is_some());
        assert_eq!(
            start(&mut registry, id).is_some(),
            second_is_sent,
            "second attempt in flight"
        );
        registry.finish_attempt(id, 0, Outcome::NotSent, None);
        assert!(
            start(&mut registry, id).is_none(),
            "an attempt that was not sent counts towards the limit"
        );
    }
    let mut registry = new_registry(false);
    let (id, _response) = insert(&mut registry);
    assert!(
        registry.start_attempt(id, None, TIMEOUT, TIMEOUT).is_err(),
        "endpoint without an address"
    );
    assert!(
        registry
            .start_attempt(id, Some(instance()), Duration::ZERO, TIMEOUT)
            .is_err(),
        "no time left"
    );
    assert!(start(&mut registry, id + 1).is_none(), "unknown request");
}

/// Both of two hedged attempts are served. The client must get one final response, that of the attempt that ended
/// first, and its customer must be charged once.
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
    assert_eq!(
        second.actual_units, None,
        "the second response does not answer the request"
    );
    assert!(
        matches!(response.try_recv(), Ok(FinalResponse::Success { body, .. }) if body.to_vec() == b"first")
    );
    assert!(registry.record(id).is_none());
}

/// A faulty endpoint reports more units than one request can use, which would use up the quota of its customer. The
/// reported number must be ignored, and the response delivered.
#[test]
fn units_above_the_maximum_of_a_request_are_ignored() {
    let mut registry = new_registry(false);
    let (id, _response) = insert(&mut registry);
    start(&mut registry, id).unwrap();
    let finished = registry
        .finish_attempt(id, 0, Outcome::Success, Some(served(MAX_UNITS + 1.0, "")))
        .unwrap();
    assert!(finished.request_closed);
    assert_eq!(finished.actual_units, None);
}

/// A request is answered while attempts are in flight. An attempt that is not yet written would be executed although no
/// client waits for its response, and must be cancelled. An attempt that is written is left to the library, as the
/// settings may forbid cancelling it.
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
        "the library may still cancel a written attempt"
    );
}

/// An attempt ends after its request was answered. The request must still be in the registry, as the rules on sending
/// are checked against it, and must be removed afterwards, or the registry would grow without bound.
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

/// An attempt ends without a response because its connection was reset. The endpoint may have executed the request, so
/// a retry of a request that must be executed once could be a second execution. The record must say so for as long as
/// the request is open.
#[test]
fn the_record_states_that_a_request_may_have_executed() {
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

/// The process exits while requests are open. A client whose request is refused sends it again, to another gateway, so
/// a request may be refused only if no endpoint can have executed it.
#[test]
fn a_request_that_was_never_written_was_not_executed() {
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
    assert!(registry.may_have_executed(id + 1), "unknown request");
}
