//! The tasks that send attempts and health checks. Each reports its end as an event.

use super::events::AttemptReport;
use super::messages::ForwardedRequest;
use super::requests::{EndpointResponse, StartedAttempt};
use super::Driver;
use crate::upstream::SendPermit;
use quota_gateway::{EndpointId, Outcome, RequestId};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::time::Instant;

/// An attempt about to be written. It may be as long as its request still wants a response, and its endpoint still
/// takes requests at the address that it had.
struct AttemptPermit {
    driver: Rc<Driver>,
    request: RequestId,
    endpoint: EndpointId,
    addr: SocketAddr,
    forwarded: Rc<ForwardedRequest>,
    deadline: Instant,
    written: Rc<Cell<bool>>,
}

impl SendPermit for AttemptPermit {
    fn refused(&self) -> Option<Outcome> {
        if self.driver.requests.borrow().is_answered(self.request) {
            return Some(Outcome::NotSent);
        }
        let ready = self.driver.endpoints.borrow().is_ready(self.endpoint);
        let at_same_address = self.driver.pool.addr(self.endpoint) == Some(self.addr);
        if ready && at_same_address {
            return None;
        }
        // As good as rejected by the endpoint: another one may be tried.
        Some(Outcome::Rejected)
    }

    fn message(&self) -> Vec<u8> {
        self.forwarded.encode(self.deadline.saturating_duration_since(Instant::now()))
    }

    fn written(&self) {
        self.written.set(true);
    }
}

/// A health check belongs to no request and may always be sent.
struct HealthCheckPermit {
    addr: SocketAddr,
}

impl SendPermit for HealthCheckPermit {
    fn refused(&self) -> Option<Outcome> {
        None
    }

    fn message(&self) -> Vec<u8> {
        format!("GET /health/live HTTP/1.1\r\nHost: {}\r\n\r\n", self.addr).into_bytes()
    }
}

impl Driver {
    /// Starts the task of an attempt. The open request owns it and ends it by cancelling the attempt.
    pub(super) fn spawn_attempt(
        self: &Rc<Self>, request: RequestId, endpoint: EndpointId, attempt: StartedAttempt,
    ) {
        let driver = self.clone();
        tokio::task::spawn_local(async move {
            let report = driver.run_attempt(request, endpoint, attempt).await;
            driver.attempt_ended(report);
        });
    }

    async fn run_attempt(
        self: &Rc<Self>, request: RequestId, endpoint: EndpointId, mut attempt: StartedAttempt,
    ) -> AttemptReport {
        let addr = attempt.addr;
        let deadline = attempt.deadline;
        let permit = AttemptPermit {
            driver: self.clone(),
            request,
            endpoint,
            addr,
            forwarded: attempt.forwarded,
            deadline,
            written: attempt.written.clone(),
        };
        let (outcome, response) = tokio::select! {
            biased;
            ended = self.pool.attempt(endpoint, addr, deadline, &permit) => ended,
            // Dropping the attempt closes its connection.
            Ok(()) = &mut attempt.cancelled => {
                let outcome = if attempt.written.get() { Outcome::Cancelled } else { Outcome::NotSent };
                (outcome, None)
            }
        };
        let served = response.filter(|_| outcome == Outcome::Success).map(|(head, body)| EndpointResponse {
            units: head.units,
            content_type: head.content_type,
            body,
        });
        AttemptReport {
            request,
            number: attempt.number,
            endpoint,
            outcome,
            elapsed_ms: elapsed_ms(attempt.started_at),
            served,
        }
    }

    /// Starts a health check, unless the endpoint is not listed any more. Its task ends by its own time-out.
    pub(super) fn check_health(self: &Rc<Self>, endpoint: EndpointId) {
        let Some(addr) = self.pool.addr(endpoint) else { return };
        let driver = self.clone();
        tokio::task::spawn_local(async move {
            let started_at = Instant::now();
            let deadline = started_at + driver.pool.connect_time();
            let permit = HealthCheckPermit { addr };
            let (outcome, _) = driver.pool.attempt(endpoint, addr, deadline, &permit).await;
            driver.health_check_ended(endpoint, outcome, elapsed_ms(started_at));
        });
    }
}

fn elapsed_ms(since: Instant) -> f64 {
    since.elapsed().as_secs_f64() * 1000.0
}
