//! Tests which attempts are found to break a rule.

use super::{RuleChecker, WrittenAttempt};
use crate::driver::registered_request::RequestRecord;
use crate::metrics::{Metrics, Rule};
use crate::upstream::{Instance, Target};
use quota_gateway::Rules;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);

/// An attempt that breaks no rule, except for what a test changes.
struct Case {
    record: RequestRecord,
    not_ready_since: Option<Instant>,
    start_deadline: Instant,
    propagated_remaining: Duration,
    now: Instant,
    refusing_since: Option<Instant>,
}

impl Case {
    fn new() -> Self {
        let now = Instant::now() + 100 * SECOND;
        let record = RequestRecord {
            transaction_id: 1,
            client_deadline: now + SECOND,
            ended_at: None,
            must_not_retry: false,
        };
        Case {
            record,
            not_ready_since: None,
            start_deadline: now,
            propagated_remaining: SECOND,
            now,
            refusing_since: None,
        }
    }

    fn broken_rules(&self) -> Vec<Rule> {
        let rules = Rules {
            drain_grace_ms: 2000.0,
            ..Rules::default()
        };
        let written = WrittenAttempt {
            record: &self.record,
            target: Target {
                endpoint: 1,
                instance: Instance {
                    addr: SocketAddr::from(([127, 0, 0, 1], 9)),
                    started_ms: 0.0,
                },
            },
            endpoint_age_ms: None,
            ready_endpoints: 1,
            not_ready_since: self.not_ready_since,
            start_deadline: self.start_deadline,
            propagated_remaining: self.propagated_remaining,
            written_at: self.now,
            refusing_since: self.refusing_since,
        };
        let checker = RuleChecker::new(&rules, Metrics::new());
        let is_within_share = checker.record_for_slow_start(&written);
        checker.broken_rules(&written, is_within_share)
    }
}

/// A fault of the program writes an attempt that breaks a rule. If the check misses it, nobody learns of the fault. If
/// the check reports what the tolerances allow, the engineer on call is paged for nothing. Each rule must be found
/// broken right past its tolerance, and not before.
#[test]
fn each_rule_is_broken_past_its_tolerance_and_not_before() {
    let ms = Duration::from_millis;
    assert_eq!(Case::new().broken_rules(), []);
    let mut case = Case::new();
    case.record.ended_at = Some(case.now - ms(100));
    case.not_ready_since = Some(case.now - ms(2050));
    case.start_deadline = case.now - ms(150);
    case.propagated_remaining = SECOND + ms(150);
    assert_eq!(case.broken_rules(), []);
    case.record.ended_at = Some(case.now - ms(101));
    assert_eq!(case.broken_rules(), [Rule::SendForClosedRequest]);
    case.not_ready_since = Some(case.now - ms(2051));
    case.propagated_remaining = SECOND + ms(151);
    case.start_deadline = case.now - ms(151);
    let expected = [
        Rule::SendForClosedRequest,
        Rule::SendToDraining,
        Rule::RemainingTime,
        Rule::UnsafeRetry,
    ];
    assert_eq!(case.broken_rules(), expected);
    let mut case = Case::new();
    case.refusing_since = Some(case.now - ms(150));
    assert_eq!(case.broken_rules(), []);
    case.refusing_since = Some(case.now - ms(151));
    assert_eq!(case.broken_rules(), [Rule::SendWhileRefusing]);
    let mut case = Case::new();
    case.record.must_not_retry = true;
    assert_eq!(case.broken_rules(), [Rule::UnsafeRetry]);
}
