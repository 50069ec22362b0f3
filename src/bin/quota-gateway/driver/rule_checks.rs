//! Checks each attempt against the rules on sending after it was written. The checks find faults of `enforcement`: an
//! attempt that breaks a rule should not have been written, so each broken rule is a fault of this program. Each is
//! counted in `gateway_rule_violations_total` and logged as `rule broken` with the ids.

use super::clock::duration_from_ms;
use super::registered_request::RequestRecord;
use super::slow_start_check::SlowStartCheck;
use crate::metrics::{Metrics, Rule};
use crate::upstream::Target;
use quota_gateway::Rules;
use std::cell::RefCell;
use std::fmt::Display;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

#[cfg(test)]
mod tests;

/// Time after the end of a request within which an attempt may still be written: a later one breaks a rule of the
/// protocol.
const CLOSED_REQUEST_GRACE: Duration = Duration::from_millis(100);
/// Tolerance of the time limits that the settings' rules define: notices reach the program over sockets.
const SOCKET_TOLERANCE: Duration = Duration::from_millis(50);
/// Tolerance of the checks that only compare times of this process: the process may stall for this long between reading
/// the clock and writing.
const STALL_TOLERANCE: Duration = Duration::from_millis(150);

/// The state of an attempt when it has been written.
pub struct WrittenAttempt<'a> {
    pub record: &'a RequestRecord,
    pub target: Target,
    /// Time at which the endpoint stopped being ready; `None` if it is ready.
    pub not_ready_since: Option<Instant>,
    /// Time since the endpoint started, in ms; `None` if that is long past.
    pub endpoint_age_ms: Option<f64>,
    pub ready_endpoints: usize,
    /// The first byte must not be written after this time.
    pub start_deadline: Instant,
    /// Time that was left until the attempt's deadline, as propagated to the endpoint in `X-Remaining-Ms`.
    pub propagated_remaining: Duration,
    /// Time at which the last byte was written.
    pub written_at: Instant,
    /// Time at which the process began to refuse requests; `None` if it does not refuse them.
    pub refusing_since: Option<Instant>,
}

/// Finds, counts and logs broken rules. The process has one instance.
pub struct RuleChecker {
    metrics: Rc<Metrics>,
    drain_grace: Duration,
    slow_start: RefCell<SlowStartCheck>,
}

impl RuleChecker {
    /// Creates a checker for the rules of the settings.
    pub fn new(rules: &Rules, metrics: Rc<Metrics>) -> Self {
        RuleChecker {
            metrics,
            drain_grace: duration_from_ms(rules.drain_grace_ms),
            slow_start: RefCell::new(SlowStartCheck::new(rules)),
        }
    }

    /// Checks an attempt whose last byte has just been written, and reports the rules that it broke.
    pub fn check_after_write(&self, attempt: &WrittenAttempt<'_>) {
        let is_within_share = self.record_for_slow_start(attempt);
        for rule in self.broken_rules(attempt, is_within_share) {
            let subject = format_args!(
                "txn {:016x} to endpoint {} at {}",
                attempt.record.transaction_id,
                attempt.target.endpoint,
                attempt.target.instance.addr
            );
            self.report(rule, subject);
        }
    }

    /// Counts an attempt for the check of slow start. Returns false if its endpoint has now got more attempts than slow
    /// start allows.
    fn record_for_slow_start(&self, attempt: &WrittenAttempt<'_>) -> bool {
        self.slow_start.borrow_mut().record(
            attempt.target.endpoint,
            attempt.endpoint_age_ms,
            attempt.ready_endpoints,
            attempt.written_at,
        )
    }

    /// Returns the rules that an attempt broke when it was written. `is_within_share` is true if its endpoint has got
    /// no more attempts than slow start allows.
    fn broken_rules(&self, attempt: &WrittenAttempt<'_>, is_within_share: bool) -> Vec<Rule> {
        let time_since =
            |at: Option<Instant>| at.map_or(Duration::ZERO, |at| attempt.written_at - at);
        let record = attempt.record;
        let time_left = record
            .client_deadline
            .saturating_duration_since(attempt.written_at);
        let checks = [
            (
                Rule::SendForClosedRequest,
                time_since(record.ended_at) > CLOSED_REQUEST_GRACE,
            ),
            (
                Rule::SendToDraining,
                time_since(attempt.not_ready_since) > self.drain_grace + SOCKET_TOLERANCE,
            ),
            (
                Rule::RemainingTime,
                attempt.propagated_remaining > time_left + STALL_TOLERANCE,
            ),
            (
                Rule::SendWhileRefusing,
                time_since(attempt.refusing_since) > STALL_TOLERANCE,
            ),
            (
                Rule::UnsafeRetry,
                record.must_not_retry
                    || attempt.written_at > attempt.start_deadline + STALL_TOLERANCE,
            ),
            (Rule::SlowStart, !is_within_share),
        ];
        checks
            .into_iter()
            .filter(|(_, is_broken)| *is_broken)
            .map(|(rule, _)| rule)
            .collect()
    }

    /// Counts and logs a broken rule. `subject` names the request or connection that broke it.
    pub fn report(&self, rule: Rule, subject: impl Display) {
        self.metrics.violations.increment(rule);
        tracing::error!("rule broken: {rule}: {subject}");
    }

    /// Number of rules broken since the process started.
    pub fn violations(&self) -> u64 {
        self.metrics.violations.total()
    }
}
