//! The broken rules and the counters of a run.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::{Display, Formatter};
use std::time::Duration;
use tokio::time::Instant;

/// A rule that the run checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A request that isn't idempotent was executed more than once.
    Duplicate,
    /// A request got no final response; its connection may have been closed instead.
    Lost,
    /// An attempt was sent to a draining endpoint after the grace period.
    Drain,
    /// An attempt was sent for a client that had closed its connection.
    ClientDisconnected,
    /// The propagated deadline was longer than the time that the client had left.
    Deadline,
    /// A successful response wasn't produced by any endpoint for its request, or an attempt belongs to no request.
    WrongAnswer,
    /// An endpoint that was warming up got more attempts than it can serve.
    SlowStart,
    /// A process crashed, used too much memory, or was not ready or did not end in time, or a fault wasn't injected.
    Process,
    /// A client that sent no valid request got neither a response nor a close in time.
    MisbehavingClient,
    /// A gateway reported a broken rule or a panic.
    OwnCheck,
}

/// One case of a broken rule.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The rule that was broken.
    pub rule: Rule,
    /// The ids, times and values that describe the case.
    pub detail: String,
    /// Time from the start of the run to the report of the violation.
    pub at: Duration,
}

impl Display for Violation {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "{:8.3} s {:?}: {}",
            self.at.as_secs_f64(),
            self.rule,
            self.detail
        )
    }
}

/// Collects the broken rules and the counters of a run.
pub struct ObservationLog {
    started_at: Instant,
    violations: RefCell<Vec<Violation>>,
    counts: RefCell<BTreeMap<String, u64>>,
}

impl ObservationLog {
    /// Creates an empty log. The times of violations are measured from this call.
    #[must_use]
    pub fn start() -> Self {
        ObservationLog {
            started_at: Instant::now(),
            violations: RefCell::default(),
            counts: RefCell::default(),
        }
    }

    /// Increments the counter `name`.
    pub fn increment(&self, name: &str) {
        *self.counts.borrow_mut().entry(name.to_owned()).or_default() += 1;
    }

    /// Keeps the largest of the values that were recorded under `name`.
    pub fn record_largest(&self, name: &str, value: u64) {
        let mut counts = self.counts.borrow_mut();
        let largest = counts.entry(name.to_owned()).or_default();
        *largest = value.max(*largest);
    }

    /// Records a broken rule.
    pub fn report(&self, rule: Rule, detail: String) {
        self.violations.borrow_mut().push(Violation {
            rule,
            detail,
            at: self.started_at.elapsed(),
        });
    }

    /// The violations that were recorded so far, in that order.
    #[must_use]
    pub fn violations(&self) -> Vec<Violation> {
        self.violations.borrow().clone()
    }

    /// The counters and largest values so far, by name.
    #[must_use]
    pub fn counts(&self) -> BTreeMap<String, u64> {
        self.counts.borrow().clone()
    }
}
