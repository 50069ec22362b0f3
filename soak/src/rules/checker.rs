//! Records the events of each request that clients and endpoints observe, and checks them against the rules.

use super::limits::RuleLimits;
use super::observation_log::{ObservationLog, Rule};
use super::slow_start::SlowStartCheck;
use crate::request_class::RequestClass;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Transmission over sockets may add this much to the grace period of draining.
const DRAIN_SLACK: Duration = Duration::from_millis(50);
/// An attempt may begin this long after its client has closed the connection.
const DISCONNECT_GRACE: Duration = Duration::from_millis(100);
/// The propagated deadline may be this much longer than the time that the client has left.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);

/// The checker that all clients and endpoints of a run share.
pub type SharedRuleChecker = Rc<RefCell<RuleChecker>>;

/// The observed events of one request.
struct ObservedRequest {
    class: RequestClass,
    gateway: usize,
    sent_at: Instant,
    remaining: Duration,
    client_disconnected_at: Option<Instant>,
    attempts: u32,
    executed_at: Vec<Instant>,
}

/// An attempt that an endpoint has received completely.
#[derive(Clone, Copy, Debug)]
pub struct ObservedAttempt {
    /// The id of the request (`X-Txn`).
    pub transaction: u64,
    /// The number of the endpoint.
    pub endpoint: usize,
    /// The time at which the first byte of the attempt arrived.
    pub began_at: Instant,
    /// The remaining time until the deadline, as the gateway propagated it (`X-Remaining-Ms`).
    pub propagated_deadline: Duration,
    /// The time at which the gateway was notified that the endpoint takes no new requests. `None` if the gateway wasn't
    /// notified.
    pub drain_notified_at: Option<Instant>,
    /// The time at which the endpoint started. `None` if it started before the run or is no longer listed as ready.
    pub started_at: Option<Instant>,
    /// The delay that the stand-ins may currently add to their observations. The time rules allow for this delay.
    pub allowance: Duration,
}

/// Collects the events that clients and endpoints observe, and reports broken rules.
pub struct RuleChecker {
    limits: RuleLimits,
    log: Rc<ObservationLog>,
    requests: HashMap<u64, ObservedRequest>,
    slow_start: SlowStartCheck,
}

impl RuleChecker {
    /// Creates a checker that reports violations to `log`.
    pub fn new(limits: RuleLimits, log: Rc<ObservationLog>) -> Self {
        RuleChecker {
            limits,
            log,
            requests: HashMap::new(),
            slow_start: SlowStartCheck::new(limits),
        }
    }

    /// Records that the last byte of a request is about to be written. A request that is sent again on another
    /// connection is recorded again.
    pub fn request_sent(
        &mut self,
        transaction: u64,
        class: RequestClass,
        gateway: usize,
        remaining: Duration,
    ) {
        let sent_at = Instant::now();
        let request = self.requests.entry(transaction).or_insert(ObservedRequest {
            class,
            gateway,
            sent_at,
            remaining,
            client_disconnected_at: None,
            attempts: 0,
            executed_at: Vec::new(),
        });
        request.gateway = gateway;
        request.sent_at = sent_at;
    }

    /// Records that the client has closed its connection without waiting for a response.
    pub fn client_disconnected(&mut self, transaction: u64) {
        self.log.increment("clients that disconnected early");
        if let Some(request) = self.requests.get_mut(&transaction) {
            request.client_disconnected_at = Some(Instant::now());
        }
    }

    /// The number of the gateway that the request was last sent to.
    pub fn gateway_of(&self, transaction: u64) -> Option<usize> {
        self.requests
            .get(&transaction)
            .map(|request| request.gateway)
    }

    /// True if an endpoint has received an attempt of the request.
    pub fn was_forwarded(&self, transaction: u64) -> bool {
        self.requests
            .get(&transaction)
            .is_some_and(|request| request.attempts > 0)
    }

    /// Records and checks a complete attempt at an endpoint.
    pub fn attempt_received(&mut self, attempt: ObservedAttempt) {
        self.log.increment("attempts");
        let Some(request) = self.requests.get_mut(&attempt.transaction) else {
            let detail = format!(
                "txn {:016x}: attempt for an unknown request",
                attempt.transaction
            );
            return self.log.report(Rule::WrongAnswer, detail);
        };
        request.attempts += 1;
        let ids = format!(
            "txn {:016x} of gateway {} at endpoint {}",
            attempt.transaction, request.gateway, attempt.endpoint
        );
        check_times(&self.log, self.limits, request, &attempt, &ids);
        self.check_slow_start(&attempt, &ids);
    }

    fn check_slow_start(&mut self, attempt: &ObservedAttempt, ids: &str) {
        let Some(started_at) = attempt.started_at else {
            return;
        };
        let overload = self
            .slow_start
            .record(attempt.endpoint, started_at, attempt.began_at);
        if let Some(overload) = overload {
            let (attempts, limit) = (overload.attempts, overload.limit);
            let window = self.limits.overload_window;
            let detail = format!("{ids}: {attempts} attempts in {window:?}, limit {limit:.0}");
            self.log.report(Rule::SlowStart, detail);
        }
    }

    /// Records that an endpoint begins to execute a request. Returns false if the request isn't executed because its
    /// idempotency key is known.
    pub fn execution_started(&mut self, transaction: u64, endpoint: usize) -> bool {
        let now = Instant::now();
        let key_window = self.limits.key_window;
        let Some(request) = self.requests.get_mut(&transaction) else {
            return true;
        };
        let first = request.executed_at.first().copied();
        let is_known = request.class == RequestClass::WithKey
            && first.is_some_and(|first| now - first < key_window);
        if is_known {
            return false;
        }
        request.executed_at.push(now);
        if request.class != RequestClass::Idempotent && request.executed_at.len() > 1 {
            let since = first.map(|first| now - first);
            let detail = format!(
                "txn {transaction:016x} ({:?}) at endpoint {endpoint}: executed again after {since:?}",
                request.class
            );
            self.log.report(Rule::Duplicate, detail);
        }
        true
    }

    /// Records and checks the final response to a request.
    pub fn response_received(&mut self, transaction: u64, status: u16, body: &[u8]) {
        self.log
            .increment(&format!("responses with status {status}"));
        let executed = self
            .requests
            .get(&transaction)
            .is_some_and(|request| !request.executed_at.is_empty());
        if status == 200 && (!executed || body != response_body(transaction).as_bytes()) {
            let text = String::from_utf8_lossy(body);
            let detail = format!("txn {transaction:016x}: unexpected response body {text:?}");
            self.log.report(Rule::WrongAnswer, detail);
        }
    }

    /// Reports a request that got no final response. `reason` describes the end of its connection or the timeout.
    pub fn request_lost(&mut self, transaction: u64, reason: &str) {
        let gateway = self.gateway_of(transaction);
        let forwarded = self.was_forwarded(transaction);
        let detail = format!(
            "txn {transaction:016x} of gateway {gateway:?}, forwarded: {forwarded}: {reason}"
        );
        self.log.report(Rule::Lost, detail);
    }
}

/// Checks the rules on the time at which an attempt may begin and on the propagated deadline.
fn check_times(
    log: &ObservationLog,
    limits: RuleLimits,
    request: &ObservedRequest,
    attempt: &ObservedAttempt,
    ids: &str,
) {
    let elapsed_since = |earlier: Option<Instant>| {
        earlier.map_or(Duration::ZERO, |earlier| {
            attempt.began_at.saturating_duration_since(earlier)
        })
    };
    let after_disconnect = elapsed_since(request.client_disconnected_at);
    if after_disconnect > DISCONNECT_GRACE + attempt.allowance {
        let detail = format!("{ids}: began {after_disconnect:?} after the client disconnected");
        log.report(Rule::ClientDisconnected, detail);
    }
    let after_notice = elapsed_since(attempt.drain_notified_at);
    if after_notice > limits.drain_grace + DRAIN_SLACK + attempt.allowance {
        let detail = format!("{ids}: began {after_notice:?} after the notice of draining");
        log.report(Rule::Drain, detail);
    }
    let client_deadline = request.sent_at + request.remaining;
    let left = client_deadline.saturating_duration_since(attempt.began_at);
    let propagated = attempt.propagated_deadline;
    if propagated > left + DEADLINE_SLACK + attempt.allowance {
        let detail =
            format!("{ids}: propagated a deadline of {propagated:?}, the client has {left:?} left");
        log.report(Rule::Deadline, detail);
    }
}

/// The response body that endpoints produce for a request.
#[must_use]
pub fn response_body(transaction: u64) -> String {
    format!("quote for {transaction:016x}")
}

#[cfg(test)]
mod tests;
