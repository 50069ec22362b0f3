//! Sends attempts. Each has a task of its own, which reports its end to an `AttemptReportHandler`.

use super::clock::Clock;
use super::endpoints::Endpoints;
use super::enforcement::{enforce_before_write, refusal_outcome, AttemptToWrite, WriteRefusal};
use super::messages::ForwardedRequest;
use super::registered_request::{AttemptTimes, EndpointResponse, StartedAttempt};
use super::registry::RequestRegistry;
use super::rule_checks::{RuleChecker, WrittenAttempt};
use crate::lifecycle::Lifecycle;
use crate::metrics::{AttemptRefusal, Metrics};
use crate::socket::{PeekResult, WeakSocket};
use crate::upstream::{
    AttemptResult, CompleteResponse, ConnectionPool, OutgoingRequest, Preparation, Target,
};
use quota_gateway::{EndpointId, Outcome, RequestId};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::Instant;

/// How often an attempt lets all other tasks run until its client's connection has read what had arrived. The buffers
/// of one connection, the client's and the gateway's, are empty after fewer turns.
const MAX_READING_TURNS: u32 = 64;

/// The end of one attempt.
pub(super) struct AttemptReport {
    /// The request.
    pub request: RequestId,
    /// The attempt's number among the request's.
    pub number: usize,
    /// Where it was sent.
    pub endpoint: EndpointId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it began, in ms.
    pub elapsed_ms: f64,
    /// The response, if the outcome is success.
    pub served: Option<EndpointResponse>,
}

/// Receives the ends of attempts.
pub(super) trait AttemptReportHandler {
    /// An attempt has ended; each reports that once.
    fn attempt_ended(self: Rc<Self>, report: AttemptReport);
}

/// What attempts are sent with and checked against. The driver shares it with the tasks of all attempts.
pub(super) struct AttemptSender {
    pub clock: Clock,
    pub registry: Rc<RefCell<RequestRegistry>>,
    pub endpoints: Rc<RefCell<Endpoints>>,
    pub pool: Rc<ConnectionPool>,
    pub rule_checker: Rc<RuleChecker>,
    pub lifecycle: Rc<Lifecycle>,
    pub metrics: Rc<Metrics>,
}

impl AttemptSender {
    /// Starts the task of an attempt. The registry can end the task by cancelling the attempt.
    pub fn spawn(
        self: &Rc<Self>,
        request: RequestId,
        endpoint: EndpointId,
        attempt: StartedAttempt,
        handler: Rc<dyn AttemptReportHandler>,
    ) {
        let sender = self.clone();
        tokio::task::spawn_local(async move {
            let report = sender.send(request, endpoint, attempt).await;
            handler.attempt_ended(report);
        });
    }

    async fn send(
        self: Rc<Self>,
        request: RequestId,
        endpoint: EndpointId,
        mut attempt: StartedAttempt,
    ) -> AttemptReport {
        let target = Target {
            endpoint,
            addr: attempt.addr,
        };
        let outgoing = AttemptRequest {
            sender: self.clone(),
            request,
            target,
            forwarded: attempt.forwarded,
            times: attempt.times,
            client: Cell::new(PeekResult::Empty),
            propagated_deadline: Cell::default(),
            written: attempt.written.clone(),
        };
        let result = tokio::select! {
            biased;
            result = self.pool.attempt(target, attempt.times.deadline, &outgoing) => result,
            // Dropping the attempt closes its connection.
            Ok(()) = &mut attempt.cancelled => {
                let outcome = if attempt.written.get() { Outcome::Cancelled } else { Outcome::NotSent };
                AttemptResult::without_response(outcome)
            }
        };
        AttemptReport {
            request,
            number: attempt.number,
            endpoint,
            outcome: result.outcome,
            elapsed_ms: elapsed_ms(attempt.times.started_at),
            served: served_response(result),
        }
    }
}

/// An attempt about to be written, unless `enforcement` refuses it.
struct AttemptRequest {
    sender: Rc<AttemptSender>,
    request: RequestId,
    target: Target,
    forwarded: Rc<ForwardedRequest>,
    times: AttemptTimes,
    /// The last peek into the client's socket.
    client: Cell<PeekResult>,
    /// The time that is left until its deadline, as it is propagated to the endpoint (`X-Remaining-Ms`).
    propagated_deadline: Cell<Duration>,
    /// Set once the last byte is written.
    written: Rc<Cell<bool>>,
}

impl AttemptRequest {
    /// What is known right now, for the check before the first byte.
    fn to_write(&self) -> AttemptToWrite {
        let sender = &self.sender;
        AttemptToWrite {
            record: sender.registry.borrow().record(self.request),
            client: self.client.get(),
            process_may_forward: sender.lifecycle.may_forward(),
            start_deadline: self.times.start_deadline,
            now: Instant::now(),
            endpoint_is_ready: sender.endpoints.borrow().is_ready(self.target.endpoint),
            endpoint_addr: sender.pool.address(self.target.endpoint),
            connected_addr: self.target.addr,
        }
    }

    /// Checks what has just been written.
    fn check_after_write(&self) {
        let sender = &self.sender;
        let Some(record) = sender.registry.borrow().record(self.request) else {
            return;
        };
        let endpoint = self.target.endpoint;
        let endpoints = sender.endpoints.borrow();
        let endpoint_age_ms = endpoints
            .started_at(endpoint)
            .map(|started_at| sender.clock.now_ms() - started_at);
        sender.rule_checker.check_after_write(&WrittenAttempt {
            record: &record,
            target: self.target,
            not_ready_since: endpoints.not_ready_since(endpoint),
            endpoint_age_ms,
            ready_endpoints: endpoints.ready_count(),
            start_deadline: self.times.start_deadline,
            propagated_deadline: self.propagated_deadline.get(),
            written_at: Instant::now(),
            refusing_since: sender.lifecycle.refusing_since(),
        });
    }
}

impl OutgoingRequest for AttemptRequest {
    fn prepare(&self) -> Option<Preparation<'_>> {
        let client = self.sender.registry.borrow().client_socket(self.request)?;
        let peeked = client.peek_or_closed();
        self.client.set(peeked);
        (peeked == PeekResult::Data).then(|| {
            let wait = async move { self.client.set(wait_until_read(client).await) };
            Box::pin(wait) as Preparation<'_>
        })
    }

    fn refusal(&self) -> Option<Outcome> {
        let refusal = enforce_before_write(&self.to_write()).err()?;
        let label = AttemptRefusal::from(refusal);
        self.sender.metrics.attempt_refusals.increment(label);
        tracing::debug!(
            request_id = self.request,
            endpoint = self.target.endpoint,
            reason = %label,
            "attempt refused"
        );
        Some(refusal_outcome(refusal))
    }

    fn encode(&self) -> Vec<u8> {
        // The process may end before the request's own deadline.
        let deadline = self.sender.lifecycle.limit_deadline(self.times.deadline);
        self.propagated_deadline
            .set(deadline.saturating_duration_since(Instant::now()));
        self.forwarded.encode(self.propagated_deadline.get())
    }

    fn on_written(&self) {
        self.written.set(true);
        self.check_after_write();
    }
}

/// The label by which metrics and log name a refusal.
impl From<WriteRefusal> for AttemptRefusal {
    fn from(refusal: WriteRefusal) -> Self {
        match refusal {
            WriteRefusal::RequestClosed => AttemptRefusal::RequestClosed,
            WriteRefusal::ClientDisconnected => AttemptRefusal::ClientDisconnected,
            WriteRefusal::MayHaveExecuted => AttemptRefusal::MayHaveExecuted,
            WriteRefusal::ShuttingDown => AttemptRefusal::ShuttingDown,
            WriteRefusal::RetryWindowOver => AttemptRefusal::RetryWindowOver,
            WriteRefusal::EndpointNotReady => AttemptRefusal::EndpointNotReady,
            WriteRefusal::EndpointMoved => AttemptRefusal::EndpointMoved,
        }
    }
}

/// Lets the client's connection read what has arrived. Returns what its socket holds afterwards.
///
/// Guards against a client that sends more and then disconnects: the attempt would be executed for nobody. A close that
/// the system knows of is seen behind unread bytes, too (`WeakSocket::peek_or_closed`). This is for a close that arrives
/// after them: each turn lets the task of the client's connection read, and the next peek looks again, until the buffer
/// is empty. A client that has more to read after the last turn is still sending, so it is still connected.
async fn wait_until_read(client: WeakSocket) -> PeekResult {
    for _ in 0..MAX_READING_TURNS {
        yield_now().await;
        let peeked = client.peek_or_closed();
        if peeked != PeekResult::Data {
            return peeked;
        }
    }
    PeekResult::Data
}

/// What the client gets of a successful attempt.
fn served_response(result: AttemptResult) -> Option<EndpointResponse> {
    match (result.outcome, result.response) {
        (Outcome::Success, Some(CompleteResponse { head, body })) => Some(EndpointResponse {
            units: head.units,
            content_type: head.content_type,
            body,
        }),
        _ => None,
    }
}

fn elapsed_ms(since: Instant) -> f64 {
    since.elapsed().as_secs_f64() * 1000.0
}
