//! Open requests and their attempts. The one owner of who still waits for a response.

use super::enforcement::{enforce_before_start, AttemptLimits, AttemptToStart, StartRefusal};
use super::messages::{FinalResponse, ForwardedRequest};
use crate::socket::WeakSocket;
use bytes::Bytes;
use quota_gateway::{Outcome, RequestId};
use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

#[cfg(test)]
mod tests;

/// A request from its arrival until it has its final response and its last attempt has ended.
struct RegisteredRequest {
    /// Where the final response goes. Taken when that is given, or when the client has gone.
    client: Option<oneshot::Sender<FinalResponse>>,
    forwarded: Rc<ForwardedRequest>,
    transaction_id: u64,
    deadline: Instant,
    /// The client waits until then.
    client_deadline: Instant,
    client_socket: WeakSocket,
    /// When it got its final response, or its client went.
    ended_at: Option<Instant>,
    /// An attempt that has ended may have been executed.
    may_have_executed: bool,
    /// One entry for each attempt, in the order of sending: the index is the attempt's number. `None` once the
    /// attempt has ended, or where it was never sent.
    attempts: Vec<Option<AttemptHandle>>,
}

/// What a new request brings.
pub struct NewRequest {
    /// The client's id of it.
    pub transaction_id: u64,
    /// What endpoints get.
    pub forwarded: ForwardedRequest,
    /// Its final response is due by then.
    pub deadline: Instant,
    /// The client waits until then.
    pub client_deadline: Instant,
    /// The client's connection.
    pub client_socket: WeakSocket,
}

/// What the rules on sending rest on, for one request.
#[derive(Clone, Copy)]
pub struct RequestRecord {
    /// The client's id of it.
    pub transaction_id: u64,
    /// The client waits until then.
    pub client_deadline: Instant,
    /// When it got its final response, or its client went.
    pub ended_at: Option<Instant>,
    /// It may have been executed, and must not be executed again.
    pub must_not_retry: bool,
}

/// An attempt in flight.
struct AttemptHandle {
    /// Tells the attempt's task to end; taken once used.
    cancel: Option<oneshot::Sender<()>>,
    /// The last byte is written: the endpoint may have begun on it. Set by the attempt's task.
    written: Rc<Cell<bool>>,
}

/// What the task of a new attempt needs.
pub struct StartedAttempt {
    /// Its number among the request's attempts.
    pub number: usize,
    /// Where to.
    pub addr: SocketAddr,
    /// When it began.
    pub started_at: Instant,
    /// When it times out.
    pub deadline: Instant,
    /// Its first byte must not be written after this.
    pub start_deadline: Instant,
    /// What is sent.
    pub forwarded: Rc<ForwardedRequest>,
    /// Yields once the attempt is cancelled.
    pub cancelled: oneshot::Receiver<()>,
    /// To be set once the last byte is written.
    pub written: Rc<Cell<bool>>,
}

/// An attempt that must not be sent.
#[derive(Clone, Copy)]
pub struct UnsentAttempt {
    /// Its number among the request's attempts.
    pub number: usize,
    /// What stands against it.
    pub reason: StartRefusal,
}

/// A complete response of an endpoint that reports success.
pub struct EndpointResponse {
    /// The request's true units, if reported.
    pub units: Option<f64>,
    /// Its `Content-Type`.
    pub content_type: Option<Bytes>,
    /// Its body.
    pub body: Bytes,
}

/// What the end of an attempt meant for its request.
pub struct FinishedAttempt {
    /// The request has its final response.
    pub request_answered: bool,
    /// The request's true units, if this attempt served it and reported them.
    pub actual_units: Option<f64>,
}

impl AttemptHandle {
    /// The handle, and the receiver that tells the attempt's task to end.
    fn new() -> (Self, oneshot::Receiver<()>) {
        let (cancel, cancelled) = oneshot::channel();
        let handle = AttemptHandle {
            cancel: Some(cancel),
            written: Rc::default(),
        };
        (handle, cancelled)
    }

    fn cancel(&mut self) {
        if let Some(cancel) = self.cancel.take() {
            // An attempt that has just ended needs no cancelling.
            let _ = cancel.send(());
        }
    }
}

impl RegisteredRequest {
    fn is_answered(&self) -> bool {
        self.client.is_none()
    }

    fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(Option::is_some)
    }

    fn may_have_executed(&self) -> bool {
        self.may_have_executed
            || self
                .attempts
                .iter()
                .flatten()
                .any(|attempt| attempt.written.get())
    }

    fn respond(&mut self, response: FinalResponse) {
        if let Some(client) = self.client.take() {
            self.ended_at = Some(Instant::now());
            // A client that has just gone needs no response.
            let _ = client.send(response);
        }
        // What is not written yet is not sent any more, whether or not the site permits cancelling what is.
        for attempt in self.attempts.iter_mut().flatten() {
            if !attempt.written.get() {
                attempt.cancel();
            }
        }
    }
}

/// All open requests.
pub struct RequestRegistry {
    open: HashMap<RequestId, RegisteredRequest>,
    next_id: RequestId,
    limits: AttemptLimits,
}

impl RequestRegistry {
    /// Ids are given out in order from `first_id`.
    pub fn new(first_id: RequestId, limits: AttemptLimits) -> Self {
        RequestRegistry {
            open: HashMap::new(),
            next_id: first_id,
            limits,
        }
    }

    /// Adds a request. Its final response goes to `client`.
    pub fn insert(&mut self, new: NewRequest, client: oneshot::Sender<FinalResponse>) -> RequestId {
        let id = self.next_id;
        self.next_id += 1;
        let request = RegisteredRequest {
            client: Some(client),
            forwarded: Rc::new(new.forwarded),
            transaction_id: new.transaction_id,
            deadline: new.deadline,
            client_deadline: new.client_deadline,
            client_socket: new.client_socket,
            ended_at: None,
            may_have_executed: false,
            attempts: Vec::new(),
        };
        self.open.insert(id, request);
        id
    }

    /// The ids of all requests that have no final response.
    pub fn unanswered(&self) -> Vec<RequestId> {
        self.open
            .iter()
            .filter(|(_, request)| !request.is_answered())
            .map(|(id, _)| *id)
            .collect()
    }

    /// True unless it is certain that no endpoint has executed the request.
    pub fn may_have_executed(&self, id: RequestId) -> bool {
        self.open
            .get(&id)
            .is_none_or(RegisteredRequest::may_have_executed)
    }

    /// What the rules on sending rest on; none if the request is no longer open.
    pub fn record(&self, id: RequestId) -> Option<RequestRecord> {
        let request = self.open.get(&id)?;
        Some(RequestRecord {
            transaction_id: request.transaction_id,
            client_deadline: request.client_deadline,
            ended_at: request.ended_at,
            must_not_retry: request.may_have_executed && request.forwarded.at_most_once,
        })
    }

    /// The connection of a request's client; none if the request is no longer open.
    pub fn client_socket(&self, id: RequestId) -> Option<WeakSocket> {
        Some(self.open.get(&id)?.client_socket.clone())
    }

    /// True once a request has its final response or is no longer open.
    pub fn is_answered(&self, id: RequestId) -> bool {
        self.open
            .get(&id)
            .is_none_or(RegisteredRequest::is_answered)
    }

    /// Gives a request its final response, unless it has one, and cancels what is not written yet.
    pub fn respond(&mut self, id: RequestId, response: FinalResponse) {
        if let Some(request) = self.open.get_mut(&id) {
            request.respond(response);
            self.remove_if_finished(id);
        }
    }

    /// Registers a request's next attempt, unless `enforcement` refuses it. An attempt that is refused takes a number all
    /// the same.
    pub fn start_attempt(
        &mut self,
        id: RequestId,
        endpoint_addr: Option<SocketAddr>,
        timeout: Duration,
        start_timeout: Duration,
    ) -> Result<StartedAttempt, UnsentAttempt> {
        let Some(request) = self.open.get_mut(&id) else {
            return Err(UnsentAttempt {
                number: 0,
                reason: StartRefusal::RequestAnswered,
            });
        };
        let number = request.attempts.len();
        let now = Instant::now();
        let deadline = request.deadline.min(now + timeout);
        let attempt = AttemptToStart {
            request_answered: request.is_answered(),
            earlier_attempts: number,
            attempt_in_flight: request.has_attempt_in_flight(),
            time_left: deadline.saturating_duration_since(now),
            endpoint_addr,
        };
        match enforce_before_start(&self.limits, &attempt) {
            Ok(addr) => {
                let (handle, cancelled) = AttemptHandle::new();
                let written = handle.written.clone();
                request.attempts.push(Some(handle));
                Ok(StartedAttempt {
                    number,
                    addr,
                    started_at: now,
                    deadline,
                    start_deadline: now + start_timeout,
                    forwarded: request.forwarded.clone(),
                    cancelled,
                    written,
                })
            }
            Err(reason) => {
                request.attempts.push(None);
                Err(UnsentAttempt { number, reason })
            }
        }
    }

    /// Cancels an attempt. Its task closes the connection, then reports the end; it counts as in flight until then.
    pub fn cancel_attempt(&mut self, id: RequestId, number: usize) {
        let Some(request) = self.open.get_mut(&id) else {
            return;
        };
        if let Some(Some(attempt)) = request.attempts.get_mut(number) {
            attempt.cancel();
        }
    }

    /// Records the end of an attempt. The first one that was served answers the request.
    pub fn finish_attempt(
        &mut self,
        id: RequestId,
        number: usize,
        outcome: Outcome,
        served: Option<EndpointResponse>,
    ) -> Option<FinishedAttempt> {
        let request = self.open.get_mut(&id)?;
        request.attempts[number] = None;
        request.may_have_executed |= !outcome.never_executed();
        let mut actual_units = None;
        if let Some(served) = served.filter(|_| !request.is_answered()) {
            // A number beyond what one request can take is as good as none.
            actual_units = served.units.filter(|units| *units <= self.limits.max_units);
            request.respond(FinalResponse::Success {
                content_type: served.content_type,
                body: served.body,
            });
        }
        let request_answered = request.is_answered();
        self.remove_if_finished(id);
        Some(FinishedAttempt {
            request_answered,
            actual_units,
        })
    }

    fn remove_if_finished(&mut self, id: RequestId) {
        let Some(request) = self.open.get(&id) else {
            return;
        };
        if request.is_answered() && !request.has_attempt_in_flight() {
            self.open.remove(&id);
        }
    }
}
