//! Checks of the rules on sending, made on each attempt after it was written. They find the faults of `enforcement`: an
//! attempt that breaks a rule should not have been written, so that each find is a fault of this program. It is counted
//! in `gateway_rule_violations_total` and logged as `rule broken` with the ids.

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

/// An attempt that is written this long after its request has ended breaks a rule of the protocol.
const CLOSED_REQUEST_GRACE: Duration = Duration::from_millis(100);
/// The time limits of the settings' rules are measured with this tolerance: notices reach the program over sockets.
const SOCKET_TOLERANCE: Duration = Duration::from_millis(50);
/// Tolerance of checks by the clock: the program may stall for this long between reading the clock and writing.
const STALL_TOLERANCE: Duration = Duration::from_millis(150);

/// What is known when an attempt has been written.
pub struct WrittenAttempt<'a> {
    /// Its request.
    pub record: &'a RequestRecord,
    /// Where it was sent.
    pub target: Target,
    /// Since when its endpoint is not ready; none if it is.
    pub not_ready_since: Option<Instant>,
    /// Time since its endpoint started, in ms; none if that is long past.
    pub endpoint_age_ms: Option<f64>,
    /// Number of ready endpoints.
    pub ready_endpoints: usize,
    /// Its first byte must not be written after this.
    pub start_deadline: Instant,
    /// The time that was left until its deadline, as it propagated it to its endpoint (`X-Remaining-Ms`).
    pub propagated_deadline: Duration,
    /// When its last byte was written.
    pub written_at: Instant,
    /// Since when the process refuses requests; none if it does not.
    pub refusing_since: Option<Instant>,
}

/// Finds, counts and logs broken rules. There is one for the process.
pub struct RuleChecker {
    metrics: Rc<Metrics>,
    drain_grace: Duration,
    slow_start: RefCell<SlowStartCheck>,
}

impl RuleChecker {
    /// For these rules.
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
            let what = format_args!(
                "txn {:016x} to endpoint {} at {}",
                attempt.record.transaction_id, attempt.target.endpoint, attempt.target.addr
            );
            self.report(rule, what);
        }
    }

    /// Counts an attempt for the check of slow start. False if its endpoint has now got more than it may.
    fn record_for_slow_start(&self, attempt: &WrittenAttempt<'_>) -> bool {
        self.slow_start.borrow_mut().record(
            attempt.target.endpoint,
            attempt.endpoint_age_ms,
            attempt.ready_endpoints,
            attempt.written_at,
        )
    }

    /// The rules that an attempt broke in being written. `is_within_share` says that its endpoint has got no more than
    /// slow start allows.
    fn broken_rules(&self, attempt: &WrittenAttempt<'_>, is_within_share: bool) -> Vec<Rule> {
        let since = |at: Option<Instant>| at.map_or(Duration::ZERO, |at| attempt.written_at - at);
        let record = attempt.record;
        let time_left = record
            .client_deadline
            .saturating_duration_since(attempt.written_at);
        let checks = [
            (
                Rule::SendForClosedRequest,
                since(record.ended_at) > CLOSED_REQUEST_GRACE,
            ),
            (
                Rule::SendToDraining,
                since(attempt.not_ready_since) > self.drain_grace + SOCKET_TOLERANCE,
            ),
            (
                Rule::RemainingTime,
                attempt.propagated_deadline > time_left + STALL_TOLERANCE,
            ),
            (
                Rule::SendWhileRefusing,
                since(attempt.refusing_since) > STALL_TOLERANCE,
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

    /// Counts and logs a broken rule. `what` names the request or connection that broke it.
    pub fn report(&self, rule: Rule, what: impl Display) {
        self.metrics.violations.increment(rule);
        tracing::error!("rule broken: {rule}: {what}");
    }

    /// How many rules were broken since the process started.
    pub fn violations(&self) -> u64 {
        self.metrics.violations.total()
    }
}
