//! The tasks that send attempts. Each reports its end as an event.

use super::enforcement::{enforce_before_write, refusal_outcome, AttemptToWrite};
use super::events::AttemptReport;
use super::messages::ForwardedRequest;
use super::registry::{EndpointResponse, StartedAttempt};
use super::rule_checks::WrittenAttempt;
use super::Driver;
use crate::socket::{PeekResult, WeakSocket};
use crate::upstream::{AttemptResult, CompleteResponse, OutgoingRequest, Settled, Target};
use quota_gateway::{EndpointId, Outcome, RequestId};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::Instant;

/// Turns of all tasks for which an attempt waits until its client's connection has read what has come: more than a
/// client's and the gateway's system hold of one connection.
const MAX_READING_TURNS: u32 = 64;

/// An attempt about to be written, unless `enforcement` refuses it.
struct AttemptRequest {
    driver: Rc<Driver>,
    request: RequestId,
    target: Target,
    forwarded: Rc<ForwardedRequest>,
    /// The attempt times out then.
    deadline: Instant,
    /// Its first byte must not be written after this.
    start_deadline: Instant,
    /// What the client's socket held when it was last looked into.
    client: Cell<PeekResult>,
    /// The remaining time that is propagated to the endpoint.
    propagated_deadline: Cell<Duration>,
    written: Rc<Cell<bool>>,
}

impl AttemptRequest {
    /// What is known right now, for the check before the first byte.
    fn to_write(&self) -> AttemptToWrite {
        let driver = &self.driver;
        AttemptToWrite {
            record: driver.registry.borrow().record(self.request),
            client: self.client.get(),
            process_may_forward: driver.lifecycle.may_forward(),
            start_deadline: self.start_deadline,
            now: Instant::now(),
            endpoint_is_ready: driver.endpoints.borrow().is_ready(self.target.endpoint),
            endpoint_addr: driver.pool.address(self.target.endpoint),
            connected_addr: self.target.addr,
        }
    }

    /// Checks what has just been written.
    fn check_after_write(&self) {
        let driver = &self.driver;
        let Some(record) = driver.registry.borrow().record(self.request) else {
            return;
        };
        let endpoint = self.target.endpoint;
        let endpoints = driver.endpoints.borrow();
        let endpoint_age_ms = endpoints
            .started_at(endpoint)
            .map(|started_at| driver.clock.now_ms() - started_at);
        driver.rule_checker.check_after_write(&WrittenAttempt {
            record: &record,
            target: self.target,
            not_ready_since: endpoints.not_ready_since(endpoint),
            endpoint_age_ms,
            ready_endpoints: endpoints.ready_count(),
            start_deadline: self.start_deadline,
            propagated_deadline: self.propagated_deadline.get(),
            written_at: Instant::now(),
            refusing_since: driver.lifecycle.refusing_since(),
        });
    }
}

impl OutgoingRequest for AttemptRequest {
    fn settle(&self) -> Option<Settled<'_>> {
        let client = self.driver.registry.borrow().client_socket(self.request)?;
        let unread = client.peek();
        self.client.set(unread);
        (unread == PeekResult::Data).then(|| {
            let read = async move { self.client.set(read_what_came(client).await) };
            Box::pin(read) as Settled<'_>
        })
    }

    fn refusal(&self) -> Option<Outcome> {
        let refusal = enforce_before_write(&self.to_write()).err()?;
        self.driver.metrics.attempt_refusals.increment(refusal);
        tracing::debug!(id = self.request, endpoint = self.target.endpoint, %refusal, "not sent");
        Some(refusal_outcome(refusal))
    }

    fn encode(&self) -> Vec<u8> {
        // The process may end before the request's own deadline.
        let deadline = self.driver.lifecycle.limit_deadline(self.deadline);
        self.propagated_deadline
            .set(deadline.saturating_duration_since(Instant::now()));
        self.forwarded.encode(self.propagated_deadline.get())
    }

    fn on_written(&self) {
        self.written.set(true);
        self.check_after_write();
    }
}

/// Lets the client's connection read what has come: its end may lie behind that, and is known only then. It reads some
/// 100 KB and more a turn. Returns what lies unread then.
async fn read_what_came(client: WeakSocket) -> PeekResult {
    for _ in 0..MAX_READING_TURNS {
        yield_now().await;
        let unread = client.peek();
        if unread != PeekResult::Data {
            return unread;
        }
    }
    PeekResult::Data
}

impl Driver {
    /// Starts the task of an attempt. The open request owns it and ends it by cancelling the attempt.
    pub(super) fn spawn_attempt(
        self: &Rc<Self>,
        request: RequestId,
        endpoint: EndpointId,
        attempt: StartedAttempt,
    ) {
        let driver = self.clone();
        tokio::task::spawn_local(async move {
            let report = driver.run_attempt(request, endpoint, attempt).await;
            driver.attempt_ended(report);
        });
    }

    async fn run_attempt(
        self: &Rc<Self>,
        request: RequestId,
        endpoint: EndpointId,
        mut attempt: StartedAttempt,
    ) -> AttemptReport {
        let target = Target {
            endpoint,
            addr: attempt.addr,
        };
        let outgoing = AttemptRequest {
            driver: self.clone(),
            request,
            target,
            forwarded: attempt.forwarded,
            deadline: attempt.deadline,
            start_deadline: attempt.start_deadline,
            client: Cell::new(PeekResult::Empty),
            propagated_deadline: Cell::default(),
            written: attempt.written.clone(),
        };
        let result = tokio::select! {
            biased;
            result = self.pool.attempt(target, attempt.deadline, &outgoing) => result,
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
            elapsed_ms: elapsed_ms(attempt.started_at),
            served: served_response(result),
        }
    }
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
