//! Sends attempts. A task for each attempt sends it and reports its end to an `AttemptReportHandler`.

use super::clock::Clock;
use super::endpoints::Endpoints;
use super::enforcement::{enforce_before_write, refusal_outcome, AttemptToWrite, WriteRefusal};
use super::messages::ForwardedRequest;
use super::registered_request::{AttemptTimes, EndpointResponse, StartedAttempt};
use super::registry::RequestRegistry;
use super::rule_checks::{RuleChecker, WrittenAttempt};
use crate::http::{Response, ResponseBody};
use crate::lifecycle::Lifecycle;
use crate::metrics::{AttemptRefusal, Metrics};
use crate::socket::{PeekResult, WeakSocket};
use crate::upstream::{
    AttemptResult, ConnectionPool, EncodedRequest, OutgoingRequest, Preparation, Target,
};
use quota_gateway::{EndpointId, Outcome, RequestId};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::Instant;

/// Maximum number of times that an attempt yields to other tasks until the connection of its client has read what
/// arrived. The buffers of one connection, the client's and the gateway's, are empty after fewer yields.
const MAX_READ_YIELDS: u32 = 64;

/// The end of one attempt.
pub(super) struct AttemptReport {
    pub request: RequestId,
    /// Position of the attempt among the request's attempts, from 0.
    pub number: usize,
    pub endpoint: EndpointId,
    pub outcome: Outcome,
    /// Time from the start of the attempt to its end, in ms.
    pub elapsed_ms: f64,
    /// The endpoint's response; `None` unless the outcome is success.
    pub response: Option<EndpointResponse>,
}

/// Receives the reports of ended attempts.
pub(super) trait AttemptReportHandler {
    /// Handles the end of an attempt. Called exactly once for each attempt that was started.
    fn attempt_ended(self: Rc<Self>, report: AttemptReport);
}

/// The shared state that attempts are sent with and checked against. The driver and the tasks of all attempts share it.
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
    /// Starts the task of an attempt. Cancelling the attempt in the registry ends the task.
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
            instance: attempt.instance,
        };
        let outgoing = AttemptRequest {
            sender: self.clone(),
            request,
            target,
            forwarded: attempt.forwarded,
            times: attempt.times,
            client_peek: Cell::new(PeekResult::Empty),
            propagated_remaining: Cell::default(),
            written: attempt.written.clone(),
        };
        let result = tokio::select! {
            biased;
            result = self.pool.attempt(target, attempt.times.deadline, &outgoing) => result,
            // Dropping the pool's future closes its connection.
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
            response: success_response(result),
        }
    }
}

/// An attempt about to be written, unless a check in `enforcement` refuses it.
struct AttemptRequest {
    sender: Rc<AttemptSender>,
    request: RequestId,
    target: Target,
    forwarded: Rc<ForwardedRequest>,
    times: AttemptTimes,
    /// Result of the last peek into the client's socket.
    client_peek: Cell<PeekResult>,
    /// Time left until the attempt's deadline, as propagated to the endpoint in `X-Remaining-Ms`.
    propagated_remaining: Cell<Duration>,
    /// True once the last byte of the attempt is written.
    written: Rc<Cell<bool>>,
}

impl AttemptRequest {
    /// Collects the current state for the check before the first byte.
    fn state_before_write(&self) -> AttemptToWrite {
        let sender = &self.sender;
        AttemptToWrite {
            record: sender.registry.borrow().record(self.request),
            client_peek: self.client_peek.get(),
            process_may_forward: sender.lifecycle.may_forward(),
            start_deadline: self.times.start_deadline,
            now: Instant::now(),
            endpoint_is_ready: sender.endpoints.borrow().is_ready(self.target.endpoint),
            instance: sender.pool.instance(self.target.endpoint),
            connected_instance: self.target.instance,
        }
    }

    /// Checks the attempt against the rules on sending, after its last byte was written.
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
            propagated_remaining: self.propagated_remaining.get(),
            written_at: Instant::now(),
            refusing_since: sender.lifecycle.refusing_since(),
        });
    }
}

impl OutgoingRequest for AttemptRequest {
    fn prepare(&self) -> Option<Preparation<'_>> {
        let client = self.sender.registry.borrow().client_socket(self.request)?;
        let peeked = client.peek_or_closed();
        self.client_peek.set(peeked);
        (peeked == PeekResult::Data).then(|| {
            let wait = async move { self.client_peek.set(wait_until_read(client).await) };
            Box::pin(wait) as Preparation<'_>
        })
    }

    fn check_before_write(&self) -> Option<Outcome> {
        let refusal = enforce_before_write(&self.state_before_write()).err()?;
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

    fn encode(&self) -> EncodedRequest {
        // The process may exit before the deadline of the request.
        let deadline = self.sender.lifecycle.limit_deadline(self.times.deadline);
        self.propagated_remaining
            .set(deadline.saturating_duration_since(Instant::now()));
        self.forwarded.encode(self.propagated_remaining.get())
    }

    fn on_written(&self) {
        self.written.set(true);
        self.check_after_write();
    }
}

/// Maps a refusal to the label that names it in metrics and in the log.
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

/// Waits until the client's connection has read what arrived. Returns what the client's socket holds afterwards.
///
/// Guards against a client that sends more data and then disconnects: the endpoint would execute the attempt although
/// no client waits for its response. `WeakSocket::peek_or_closed` detects a close that the system already knows of,
/// even if unread bytes precede it. The loop here detects a close that arrives after those bytes: each yield lets the
/// task of the client's connection read, and the next peek checks the socket again, until the buffer is empty. A client
/// whose socket still holds data after the last yield is still sending, and therefore still connected.
async fn wait_until_read(client: WeakSocket) -> PeekResult {
    for _ in 0..MAX_READ_YIELDS {
        yield_now().await;
        let peeked = client.peek_or_closed();
        if peeked != PeekResult::Data {
            return peeked;
        }
    }
    PeekResult::Data
}

/// Returns what the client gets of a successful attempt's response; `None` for other outcomes.
fn success_response(result: AttemptResult) -> Option<EndpointResponse> {
    match (result.outcome, result.response) {
        (
            Outcome::Success,
            Some(Response {
                head,
                body: ResponseBody::Complete(body),
            }),
        ) => Some(EndpointResponse {
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
