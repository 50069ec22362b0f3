//! The tasks that send attempts. Each reports its end as an event.

use super::events::AttemptReport;
use super::guard::{refusal_outcome, GuardedAttempt};
use super::messages::ForwardedRequest;
use super::registry::{EndpointResponse, StartedAttempt};
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

/// An attempt about to be written, if the guard lets it.
struct AttemptRequest {
    driver: Rc<Driver>,
    guarded: GuardedAttempt,
    forwarded: Rc<ForwardedRequest>,
    deadline: Instant,
    /// The remaining time that is propagated to the endpoint.
    propagated_deadline: Cell<Duration>,
    written: Rc<Cell<bool>>,
}

impl OutgoingRequest for AttemptRequest {
    fn settle(&self) -> Option<Settled<'_>> {
        let client = self
            .driver
            .registry
            .borrow()
            .client_socket(self.guarded.request)?;
        let unread = client.peek();
        self.guarded.client.set(unread);
        (unread == PeekResult::Data).then(|| {
            let read = async move { self.guarded.client.set(read_what_came(client).await) };
            Box::pin(read) as Settled<'_>
        })
    }

    fn refusal(&self) -> Option<Outcome> {
        let refusal = self.driver.check_before_write(&self.guarded).err()?;
        self.driver.metrics.attempt_refusals.increment(refusal);
        tracing::debug!(id = self.guarded.request, endpoint = self.guarded.target.endpoint, %refusal, "not sent");
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
        self.driver
            .check_after_write(&self.guarded, self.propagated_deadline.get());
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
            guarded: GuardedAttempt {
                request,
                target,
                start_deadline: attempt.start_deadline,
                client: Cell::new(PeekResult::Empty),
            },
            forwarded: attempt.forwarded,
            deadline: attempt.deadline,
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
