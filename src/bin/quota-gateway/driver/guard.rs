//! The guard of the rules on sending: the one place that says whether an attempt may be written, and that looks once
//! more at what has been written. What it finds broken then is counted and logged with the ids; it is a fault of the
//! program, as the answer before the write should have been no.

use super::actions::duration;
use super::registry::RequestRecord;
use super::slow_start_check::SlowStartCheck;
use super::Driver;
use crate::metrics::{AttemptRefusal, Metrics, Rule};
use crate::socket::PeekResult;
use crate::upstream::Target;
use quota_gateway::{Outcome, RequestId, Rules};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

#[cfg(test)]
mod tests;

/// An attempt that begins this long after its client has gone breaks a rule.
const CLOSED_REQUEST_GRACE: Duration = Duration::from_millis(100);
/// On sockets each time limit of the rules is this much longer.
const SOCKET_SLACK: Duration = Duration::from_millis(50);
/// An attempt may tell this much more time than its client has left, and the program stall for so long between
/// looking at the clock and writing.
const TIME_SLACK: Duration = Duration::from_millis(150);

/// What the guard needs to know of an attempt.
pub struct GuardedAttempt {
    /// Its request.
    pub request: RequestId,
    /// Where it goes.
    pub target: Target,
    /// Its first byte must not be written after this.
    pub start_deadline: Instant,
    /// What lay unread in the client's socket right before the write.
    pub client: Cell<PeekResult>,
}

/// What is known when an attempt has been written.
pub struct WrittenAttempt<'a> {
    /// Its request.
    pub record: &'a RequestRecord,
    /// Since when its endpoint is not ready; none if it is.
    pub not_ready_since: Option<Instant>,
    /// Its first byte must not be written after this.
    pub start_deadline: Instant,
    /// The remaining time that it propagated to its endpoint.
    pub propagated_deadline: Duration,
    /// When its last byte was written.
    pub written_at: Instant,
    /// Since when the process refuses requests; none if it does not.
    pub refusing_since: Option<Instant>,
}

/// The guard's own state: one for the process.
pub struct Guard {
    metrics: Rc<Metrics>,
    drain_grace: Duration,
    slow_start: RefCell<SlowStartCheck>,
}

impl Guard {
    /// For these rules.
    pub fn new(rules: &Rules, metrics: Rc<Metrics>) -> Self {
        Guard {
            metrics,
            drain_grace: duration(rules.drain_grace_ms),
            slow_start: RefCell::new(SlowStartCheck::new(rules)),
        }
    }

    /// The rules that an attempt broke in being written.
    pub fn broken_rules(&self, attempt: &WrittenAttempt<'_>) -> Vec<Rule> {
        let since = |at: Option<Instant>| at.map_or(Duration::ZERO, |at| attempt.written_at - at);
        let record = attempt.record;
        let left = record
            .client_deadline
            .saturating_duration_since(attempt.written_at);
        let checks = [
            (
                Rule::SendForClosedRequest,
                since(record.ended_at) > CLOSED_REQUEST_GRACE,
            ),
            (
                Rule::SendToDraining,
                since(attempt.not_ready_since) > self.drain_grace + SOCKET_SLACK,
            ),
            (
                Rule::RemainingTime,
                attempt.propagated_deadline > left + TIME_SLACK,
            ),
            (
                Rule::SendWhileRefusing,
                since(attempt.refusing_since) > TIME_SLACK,
            ),
            (
                Rule::UnsafeRetry,
                record.must_not_retry || attempt.written_at > attempt.start_deadline + TIME_SLACK,
            ),
        ];
        checks
            .into_iter()
            .filter(|(_, is_broken)| *is_broken)
            .map(|(rule, _)| rule)
            .collect()
    }

    /// Counts and logs a broken rule.
    pub fn report(&self, rule: Rule, what: &str) {
        self.metrics.violations.increment(rule);
        tracing::error!("rule broken: {rule}: {what}");
    }

    /// How many rules were broken.
    pub fn violations(&self) -> u64 {
        self.metrics.violations.total()
    }
}

impl Driver {
    /// Whether an attempt may be written now. Asked right before its first byte: finding a connection takes time, in
    /// which the client may go, the endpoint drain and the window for a retry pass.
    pub(super) fn check_before_write(
        &self,
        attempt: &GuardedAttempt,
    ) -> Result<(), AttemptRefusal> {
        let record = self.registry.borrow().record(attempt.request);
        let record = record.filter(|record| record.ended_at.is_none());
        let record = record.ok_or(AttemptRefusal::RequestAnswered)?;
        if attempt.client.get() == PeekResult::EndOfStream {
            return Err(AttemptRefusal::ClientGone);
        }
        if record.must_not_retry {
            return Err(AttemptRefusal::MayHaveExecuted);
        }
        if !self.lifecycle.may_forward() {
            return Err(AttemptRefusal::ShuttingDown);
        }
        if Instant::now() >= attempt.start_deadline {
            return Err(AttemptRefusal::RetryWindowOver);
        }
        if !self.endpoints.borrow().is_ready(attempt.target.endpoint) {
            return Err(AttemptRefusal::EndpointNotReady);
        }
        if self.pool.address(attempt.target.endpoint) != Some(attempt.target.addr) {
            return Err(AttemptRefusal::EndpointMoved);
        }
        Ok(())
    }

    /// Looks once more at an attempt whose last byte has just been written.
    pub(super) fn check_after_write(
        &self,
        attempt: &GuardedAttempt,
        propagated_deadline: Duration,
    ) {
        let written_at = Instant::now();
        let endpoint = attempt.target.endpoint;
        let Some(record) = self.registry.borrow().record(attempt.request) else {
            return;
        };
        let endpoints = self.endpoints.borrow();
        let written = WrittenAttempt {
            record: &record,
            not_ready_since: endpoints.not_ready_since(endpoint),
            start_deadline: attempt.start_deadline,
            propagated_deadline,
            written_at,
            refusing_since: self.lifecycle.refusing_since(),
        };
        let mut broken = self.guard.broken_rules(&written);
        let age_ms = endpoints
            .started_at(endpoint)
            .map(|started_at| self.clock.now_ms() - started_at);
        let mut slow_start = self.guard.slow_start.borrow_mut();
        if !slow_start.record(endpoint, age_ms, endpoints.ready_count(), written_at) {
            broken.push(Rule::SlowStart);
        }
        for rule in broken {
            let what = format!(
                "txn {:016x} to endpoint {endpoint} at {}",
                record.transaction_id, attempt.target.addr
            );
            self.guard.report(rule, &what);
        }
    }
}

/// The outcome of an attempt that was refused, in the decision library's terms.
pub fn refusal_outcome(refusal: AttemptRefusal) -> Outcome {
    match refusal {
        AttemptRefusal::RequestAnswered
        | AttemptRefusal::ClientGone
        | AttemptRefusal::RetryWindowOver
        | AttemptRefusal::MayHaveExecuted
        | AttemptRefusal::ShuttingDown => Outcome::NotSent,
        // As good as rejected by the endpoint: another one may be tried.
        AttemptRefusal::EndpointNotReady | AttemptRefusal::EndpointMoved => Outcome::Rejected,
    }
}
