//! One request in the registry: its client, its attempts, and whether it may have been executed.

use super::messages::{FinalResponse, ForwardedRequest};
use crate::memory::StoredBody;
use crate::socket::WeakSocket;
use crate::upstream::Instance;
use bytes::Bytes;
use quota_gateway::Outcome;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A request to be added to the registry.
pub struct NewRequest {
    /// The client's id of the transaction.
    pub transaction_id: u64,
    /// The request as endpoints get it.
    pub forwarded: ForwardedRequest,
    /// Time at which the final response is due.
    pub deadline: Instant,
    /// Time until which the client waits for the response.
    pub client_deadline: Instant,
    /// Socket of the client's connection.
    pub client_socket: WeakSocket,
}

/// The state of a request that `enforcement` and `rule_checks` depend on.
#[derive(Clone, Copy)]
pub struct RequestRecord {
    /// The client's id of the transaction.
    pub transaction_id: u64,
    /// Time until which the client waits for the response.
    pub client_deadline: Instant,
    /// Time at which the request got its final response, or its client disconnected; `None` before.
    pub ended_at: Option<Instant>,
    /// True if the request may have been executed and must not be executed again.
    pub must_not_retry: bool,
}

/// The state that the task of a new attempt needs.
pub struct StartedAttempt {
    /// Position of the attempt among the request's attempts, from 0.
    pub number: usize,
    /// The process of the endpoint.
    pub instance: Instance,
    /// Start time and deadlines of the attempt.
    pub times: AttemptTimes,
    /// The request to send.
    pub forwarded: Rc<ForwardedRequest>,
    /// Yields once the attempt is cancelled.
    pub cancelled: oneshot::Receiver<()>,
    /// Set by the attempt's task once the last byte is written.
    pub written: Rc<Cell<bool>>,
}

/// The start time and the deadlines of an attempt.
#[derive(Clone, Copy)]
pub struct AttemptTimes {
    /// Time at which the attempt started.
    pub started_at: Instant,
    /// Time at which the attempt times out.
    pub deadline: Instant,
    /// The first byte must not be written after this time.
    pub start_deadline: Instant,
}

/// A complete response of an endpoint that reports success.
pub struct EndpointResponse {
    /// Actual units of the request; `None` if the endpoint did not report them.
    pub units: Option<f64>,
    /// Value of the `Content-Type` header; `None` if the response has none.
    pub content_type: Option<Bytes>,
    pub body: StoredBody,
}

/// The effect of an attempt's end on its request.
pub struct FinishedAttempt {
    /// True if the request has its final response, or its client has disconnected.
    pub request_closed: bool,
    /// Actual units of the request; `None` unless this attempt served the request and reported them.
    pub actual_units: Option<f64>,
}

/// The registry's handle of an attempt in flight.
struct AttemptHandle {
    /// Ends the attempt's task; taken on first use.
    cancel: Option<oneshot::Sender<()>>,
    /// True once the last byte is written: the endpoint may have begun to execute the request. Set by the attempt's
    /// task.
    written: Rc<Cell<bool>>,
}

impl AttemptHandle {
    fn cancel(&mut self) {
        if let Some(cancel) = self.cancel.take() {
            // Sending fails if the attempt has just ended.
            let _ = cancel.send(());
        }
    }
}

/// A request, registered from its arrival until it has its final response and its last attempt has ended.
pub struct RegisteredRequest {
    /// Channel to the server for the final response. Taken when the response is given, or when the client has
    /// disconnected.
    response_sender: Option<oneshot::Sender<FinalResponse>>,
    /// Socket of the client's connection.
    pub client_socket: WeakSocket,
    /// Time at which the final response is due.
    pub deadline: Instant,
    forwarded: Rc<ForwardedRequest>,
    transaction_id: u64,
    client_deadline: Instant,
    ended_at: Option<Instant>,
    /// True if an attempt that has ended may have been executed.
    may_have_executed: bool,
    /// The handle of each attempt, in the order of sending: the index is the attempt's number. `None` if the attempt
    /// has ended or was never sent.
    attempts: Vec<Option<AttemptHandle>>,
}

impl RegisteredRequest {
    /// Creates a request without attempts. Its final response is sent to `response_sender`.
    pub fn new(request: NewRequest, response_sender: oneshot::Sender<FinalResponse>) -> Self {
        RegisteredRequest {
            response_sender: Some(response_sender),
            client_socket: request.client_socket,
            deadline: request.deadline,
            forwarded: Rc::new(request.forwarded),
            transaction_id: request.transaction_id,
            client_deadline: request.client_deadline,
            ended_at: None,
            may_have_executed: false,
            attempts: Vec::new(),
        }
    }

    /// True if the request has its final response, or its client has disconnected.
    pub fn is_closed(&self) -> bool {
        self.response_sender.is_none()
    }

    /// The number of attempts, including attempts that were never sent.
    pub fn attempt_count(&self) -> usize {
        self.attempts.len()
    }

    /// True if an attempt has not ended.
    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(Option::is_some)
    }

    /// True unless it is certain that no endpoint has executed the request.
    pub fn may_have_executed(&self) -> bool {
        self.may_have_executed
            || self
                .attempts
                .iter()
                .flatten()
                .any(|attempt| attempt.written.get())
    }

    /// The state of the request that the rules on sending depend on.
    pub fn record(&self) -> RequestRecord {
        RequestRecord {
            transaction_id: self.transaction_id,
            client_deadline: self.client_deadline,
            ended_at: self.ended_at,
            must_not_retry: self.may_have_executed && self.forwarded.at_most_once,
        }
    }

    /// Gives the request its final response, unless it already has one, and cancels the attempts that are not yet
    /// written: no client would wait for their responses.
    pub fn respond(&mut self, response: FinalResponse) {
        if let Some(response_sender) = self.response_sender.take() {
            self.ended_at = Some(Instant::now());
            // Sending fails if the client has just disconnected.
            let _ = response_sender.send(response);
        }
        // The setting that permits cancelling concerns only attempts that are written.
        for attempt in self.attempts.iter_mut().flatten() {
            if !attempt.written.get() {
                attempt.cancel();
            }
        }
    }

    /// Adds an attempt. It counts as in flight from now on.
    pub fn add_attempt(&mut self, instance: Instance, times: AttemptTimes) -> StartedAttempt {
        let (cancel, cancelled) = oneshot::channel();
        let written = Rc::new(Cell::new(false));
        let number = self.attempts.len();
        self.attempts.push(Some(AttemptHandle {
            cancel: Some(cancel),
            written: written.clone(),
        }));
        StartedAttempt {
            number,
            instance,
            times,
            forwarded: self.forwarded.clone(),
            cancelled,
            written,
        }
    }

    /// Adds an attempt that is never sent. It still takes a number.
    pub fn add_unsent_attempt(&mut self) {
        self.attempts.push(None);
    }

    /// Cancels the attempt if it is in flight.
    pub fn cancel_attempt(&mut self, number: usize) {
        if let Some(Some(attempt)) = self.attempts.get_mut(number) {
            attempt.cancel();
        }
    }

    /// Records the end of an attempt. The first attempt that was served answers the request. Reported units above
    /// `max_units` are ignored.
    pub fn finish_attempt(
        &mut self,
        number: usize,
        outcome: Outcome,
        response: Option<EndpointResponse>,
        max_units: f64,
    ) -> FinishedAttempt {
        self.attempts[number] = None;
        self.may_have_executed |= !outcome.never_executed();
        let mut actual_units = None;
        if let Some(response) = response.filter(|_| !self.is_closed()) {
            actual_units = response.units.filter(|units| *units <= max_units);
            self.respond(FinalResponse::Success {
                content_type: response.content_type,
                body: response.body,
            });
        }
        FinishedAttempt {
            request_closed: self.is_closed(),
            actual_units,
        }
    }
}
