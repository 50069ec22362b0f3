//! One request in the registry: its client, its attempts, and what is known of its execution.

use super::messages::{FinalResponse, ForwardedRequest};
use crate::socket::WeakSocket;
use bytes::Bytes;
use quota_gateway::Outcome;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A request as it is handed to the registry.
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

/// What `enforcement` and `rule_checks` need to know of a request.
#[derive(Clone, Copy)]
pub struct RequestRecord {
    /// The client's id of it.
    pub transaction_id: u64,
    /// The client waits until then.
    pub client_deadline: Instant,
    /// When it got its final response, or its client disconnected; none before.
    pub ended_at: Option<Instant>,
    /// It may have been executed, and must not be executed again.
    pub must_not_retry: bool,
}

/// What the task of a new attempt needs.
pub struct StartedAttempt {
    /// Its number among the request's attempts.
    pub number: usize,
    /// The endpoint's address.
    pub addr: SocketAddr,
    /// Its times.
    pub times: AttemptTimes,
    /// What is sent.
    pub forwarded: Rc<ForwardedRequest>,
    /// Yields once the attempt is cancelled.
    pub cancelled: oneshot::Receiver<()>,
    /// To be set once the last byte is written.
    pub written: Rc<Cell<bool>>,
}

/// The times of an attempt.
#[derive(Clone, Copy)]
pub struct AttemptTimes {
    /// When it began.
    pub started_at: Instant,
    /// When it times out.
    pub deadline: Instant,
    /// Its first byte must not be written after this.
    pub start_deadline: Instant,
}

/// A complete response of an endpoint that reports success.
pub struct EndpointResponse {
    /// The request's actual units, if reported.
    pub units: Option<f64>,
    /// Its `Content-Type`.
    pub content_type: Option<Bytes>,
    /// Its body.
    pub body: Bytes,
}

/// The effect of an attempt's end on its request.
pub struct FinishedAttempt {
    /// The request has its final response, or its client has disconnected.
    pub request_closed: bool,
    /// The request's actual units, if this attempt served it and reported them.
    pub actual_units: Option<f64>,
}

/// The registry's handle of an attempt in flight.
struct AttemptHandle {
    /// Ends the attempt's task; taken once used.
    cancel: Option<oneshot::Sender<()>>,
    /// The last byte is written: the endpoint may have begun on it. Set by the attempt's task.
    written: Rc<Cell<bool>>,
}

impl AttemptHandle {
    fn cancel(&mut self) {
        if let Some(cancel) = self.cancel.take() {
            // It fails if the attempt has just ended.
            let _ = cancel.send(());
        }
    }
}

/// A request from its arrival until it has its final response and its last attempt has ended.
pub struct RegisteredRequest {
    /// Receives the final response. Taken when that is given, or when the client has disconnected.
    client: Option<oneshot::Sender<FinalResponse>>,
    /// The client's connection.
    pub client_socket: WeakSocket,
    /// Its final response is due by then.
    pub deadline: Instant,
    forwarded: Rc<ForwardedRequest>,
    transaction_id: u64,
    client_deadline: Instant,
    ended_at: Option<Instant>,
    /// An attempt that has ended may have been executed.
    may_have_executed: bool,
    /// One entry for each attempt, in the order of sending: the index is the attempt's number. `None` once the
    /// attempt has ended, or if it was never sent.
    attempts: Vec<Option<AttemptHandle>>,
}

impl RegisteredRequest {
    /// A request without attempts. Its final response goes to `client`.
    pub fn new(new: NewRequest, client: oneshot::Sender<FinalResponse>) -> Self {
        RegisteredRequest {
            client: Some(client),
            client_socket: new.client_socket,
            deadline: new.deadline,
            forwarded: Rc::new(new.forwarded),
            transaction_id: new.transaction_id,
            client_deadline: new.client_deadline,
            ended_at: None,
            may_have_executed: false,
            attempts: Vec::new(),
        }
    }

    /// True once it has its final response, or its client has disconnected.
    pub fn is_closed(&self) -> bool {
        self.client.is_none()
    }

    /// The number of its attempts, those included that were never sent.
    pub fn attempt_count(&self) -> usize {
        self.attempts.len()
    }

    /// True while an attempt has not ended.
    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(Option::is_some)
    }

    /// True unless it is certain that no endpoint has executed it.
    pub fn may_have_executed(&self) -> bool {
        self.may_have_executed
            || self
                .attempts
                .iter()
                .flatten()
                .any(|attempt| attempt.written.get())
    }

    /// What the rules on sending depend on.
    pub fn record(&self) -> RequestRecord {
        RequestRecord {
            transaction_id: self.transaction_id,
            client_deadline: self.client_deadline,
            ended_at: self.ended_at,
            must_not_retry: self.may_have_executed && self.forwarded.at_most_once,
        }
    }

    /// Gives it its final response, unless it has one, and cancels the attempts that are not written: they would be
    /// executed for nobody.
    pub fn respond(&mut self, response: FinalResponse) {
        if let Some(client) = self.client.take() {
            self.ended_at = Some(Instant::now());
            // It fails if the client has just disconnected.
            let _ = client.send(response);
        }
        // The settings on cancelling concern attempts that are written.
        for attempt in self.attempts.iter_mut().flatten() {
            if !attempt.written.get() {
                attempt.cancel();
            }
        }
    }

    /// Adds an attempt, which is in flight from now on.
    pub fn add_attempt(&mut self, addr: SocketAddr, times: AttemptTimes) -> StartedAttempt {
        let (cancel, cancelled) = oneshot::channel();
        let written = Rc::new(Cell::new(false));
        let number = self.attempts.len();
        self.attempts.push(Some(AttemptHandle {
            cancel: Some(cancel),
            written: written.clone(),
        }));
        StartedAttempt {
            number,
            addr,
            times,
            forwarded: self.forwarded.clone(),
            cancelled,
            written,
        }
    }

    /// Adds an attempt that is never sent, and takes a number all the same.
    pub fn add_unsent_attempt(&mut self) {
        self.attempts.push(None);
    }

    /// Cancels an attempt, if it is in flight.
    pub fn cancel_attempt(&mut self, number: usize) {
        if let Some(Some(attempt)) = self.attempts.get_mut(number) {
            attempt.cancel();
        }
    }

    /// Records the end of an attempt. The first one that was served answers the request; units above `max_units` are
    /// ignored.
    pub fn finish_attempt(
        &mut self,
        number: usize,
        outcome: Outcome,
        served: Option<EndpointResponse>,
        max_units: f64,
    ) -> FinishedAttempt {
        self.attempts[number] = None;
        self.may_have_executed |= !outcome.never_executed();
        let mut actual_units = None;
        if let Some(served) = served.filter(|_| !self.is_closed()) {
            actual_units = served.units.filter(|units| *units <= max_units);
            self.respond(FinalResponse::Success {
                content_type: served.content_type,
                body: served.body,
            });
        }
        FinishedAttempt {
            request_closed: self.is_closed(),
            actual_units,
        }
    }
}
