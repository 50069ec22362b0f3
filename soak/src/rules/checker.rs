//! What was seen of each request, and the rules that it is checked by.

use super::limits::RuleLimits;
use super::observation_log::{ObservationLog, Rule};
use super::slow_start::SlowStartCheck;
use crate::request_class::RequestClass;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// On sockets the grace time of draining is this much longer.
const SOCKET_SLACK: Duration = Duration::from_millis(50);
/// An attempt may begin this long after its client has closed.
const CLOSE_GRACE: Duration = Duration::from_millis(100);
/// The propagated deadline may be this much longer than the time that the client has left.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);

/// A checker that clients and endpoints of a run share.
pub type SharedRuleChecker = Rc<RefCell<RuleChecker>>;

/// What was seen of one request.
struct ObservedRequest {
    class: RequestClass,
    gateway: usize,
    sent_at: Instant,
    remaining: Duration,
    closed_at: Option<Instant>,
    attempts: u32,
    executed_at: Vec<Instant>,
}

/// What an endpoint sees of an attempt once it is complete.
#[derive(Clone, Copy, Debug)]
pub struct ObservedAttempt {
    /// The request's id.
    pub transaction: u64,
    /// The endpoint's number.
    pub endpoint: usize,
    /// When its first byte came.
    pub began_at: Instant,
    /// The time that is left until its deadline, as the gateway propagated it (`X-Remaining-Ms`).
    pub propagated_deadline: Duration,
    /// When the gateway was notified that the endpoint takes nothing new, if it was.
    pub drain_notified_at: Option<Instant>,
    /// When the endpoint started, if it may still be warming up.
    pub started_at: Option<Instant>,
    /// How late the stand-ins may run at present, which is not the gateway's fault.
    pub allowance: Duration,
}

/// Collects what clients and endpoints see, and finds broken rules.
pub struct RuleChecker {
    limits: RuleLimits,
    log: Rc<ObservationLog>,
    requests: HashMap<u64, ObservedRequest>,
    slow_start: SlowStartCheck,
}

impl RuleChecker {
    /// Checks by these limits and reports to this log.
    pub fn new(limits: RuleLimits, log: Rc<ObservationLog>) -> Self {
        RuleChecker {
            limits,
            log,
            requests: HashMap::new(),
            slow_start: SlowStartCheck::new(limits),
        }
    }

    /// The last byte of a request is about to be written, for the first time or, on another connection, again.
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
            closed_at: None,
            attempts: 0,
            executed_at: Vec::new(),
        });
        request.gateway = gateway;
        request.sent_at = sent_at;
    }

    /// The client has closed its connection, and waits for nothing.
    pub fn client_closed(&mut self, transaction: u64) {
        self.log.count("clients that left");
        if let Some(request) = self.requests.get_mut(&transaction) {
            request.closed_at = Some(Instant::now());
        }
    }

    /// The gateway that a request was sent to.
    pub fn gateway_of(&self, transaction: u64) -> Option<usize> {
        self.requests
            .get(&transaction)
            .map(|request| request.gateway)
    }

    /// True if an endpoint has got an attempt of this request.
    pub fn was_forwarded(&self, transaction: u64) -> bool {
        self.requests
            .get(&transaction)
            .is_some_and(|request| request.attempts > 0)
    }

    /// An endpoint has got a complete attempt.
    pub fn attempt(&mut self, attempt: ObservedAttempt) {
        self.log.count("attempts");
        let Some(request) = self.requests.get_mut(&attempt.transaction) else {
            let detail = format!("txn {:016x}: an attempt of no request", attempt.transaction);
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
            let detail = format!("{ids}: {attempts} in {window:?}, limit {limit:.0}");
            self.log.report(Rule::SlowStart, detail);
        }
    }

    /// An endpoint begins to execute a request. Returns false if it drops it, as it knows the key.
    pub fn executed(&mut self, transaction: u64, endpoint: usize) -> bool {
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
                "txn {transaction:016x} ({:?}) at endpoint {endpoint}: again after {since:?}",
                request.class
            );
            self.log.report(Rule::Duplicate, detail);
        }
        true
    }

    /// A request has its final answer.
    pub fn answered(&mut self, transaction: u64, status: u16, body: &[u8]) {
        self.log.count(&format!("answers {status}"));
        let executed = self
            .requests
            .get(&transaction)
            .is_some_and(|request| !request.executed_at.is_empty());
        if status == 200 && (!executed || body != answer_body(transaction).as_bytes()) {
            let text = String::from_utf8_lossy(body);
            let detail = format!("txn {transaction:016x}: {text:?}");
            self.log.report(Rule::WrongAnswer, detail);
        }
    }

    /// A request has no final answer.
    pub fn lost(&mut self, transaction: u64, how: &str) {
        let gateway = self.gateway_of(transaction);
        let forwarded = self.was_forwarded(transaction);
        let detail =
            format!("txn {transaction:016x} of gateway {gateway:?}, forwarded: {forwarded}: {how}");
        self.log.report(Rule::Lost, detail);
    }
}

/// The rules that limit when an attempt may begin, and the deadline that it propagates.
fn check_times(
    log: &ObservationLog,
    limits: RuleLimits,
    request: &ObservedRequest,
    attempt: &ObservedAttempt,
    ids: &str,
) {
    let elapsed_since = |moment: Option<Instant>| {
        moment.map_or(Duration::ZERO, |moment| {
            attempt.began_at.saturating_duration_since(moment)
        })
    };
    let after_close = elapsed_since(request.closed_at);
    if after_close > CLOSE_GRACE + attempt.allowance {
        let detail = format!("{ids}: {after_close:?} after the close");
        log.report(Rule::ClientDisconnected, detail);
    }
    let after_notice = elapsed_since(attempt.drain_notified_at);
    if after_notice > limits.drain_grace + SOCKET_SLACK + attempt.allowance {
        let detail = format!("{ids}: {after_notice:?} after the notice");
        log.report(Rule::Drain, detail);
    }
    let client_deadline = request.sent_at + request.remaining;
    let left = client_deadline.saturating_duration_since(attempt.began_at);
    let propagated = attempt.propagated_deadline;
    if propagated > left + DEADLINE_SLACK + attempt.allowance {
        let detail = format!("{ids}: {propagated:?} propagated, {left:?} left");
        log.report(Rule::Deadline, detail);
    }
}

/// The body that endpoints make for a request.
#[must_use]
pub fn answer_body(transaction: u64) -> String {
    format!("quote for {transaction:016x}")
}

#[cfg(test)]
mod tests;
