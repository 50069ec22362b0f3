//! Broken rules and counts of a run.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::{Display, Formatter};
use std::time::Duration;
use tokio::time::Instant;

/// A rule that was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Executed more than once.
    Duplicate,
    /// No final answer, or a connection closed in place of one.
    Lost,
    /// Sent to an endpoint past the grace time of its draining.
    Drain,
    /// Sent for a client that had closed its connection.
    ClientDisconnected,
    /// A longer deadline propagated than the client has left.
    Deadline,
    /// A success that no endpoint made for this request.
    WrongAnswer,
    /// An endpoint that is warming up got more attempts than it can serve.
    SlowStart,
    /// A process crashed, was not ready or did not end in time.
    Process,
    /// A client that misbehaves got neither an error nor a close in time.
    MisbehavingClient,
    /// The gateway's own check found a broken rule.
    OwnCheck,
}

/// A broken rule and where.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// Ids, times, figures.
    pub detail: String,
    /// Time since the start of the run.
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

/// Records what the parts of a run observe.
pub struct ObservationLog {
    started_at: Instant,
    violations: RefCell<Vec<Violation>>,
    counts: RefCell<BTreeMap<String, u64>>,
}

impl ObservationLog {
    /// An empty log that starts now.
    #[must_use]
    pub fn start() -> Self {
        ObservationLog {
            started_at: Instant::now(),
            violations: RefCell::default(),
            counts: RefCell::default(),
        }
    }

    /// Adds one to the count of this name.
    pub fn count(&self, name: &str) {
        *self.counts.borrow_mut().entry(name.to_owned()).or_default() += 1;
    }

    /// Keeps the largest of the figures of this name.
    pub fn record_largest(&self, name: &str, figure: u64) {
        let mut counts = self.counts.borrow_mut();
        let largest = counts.entry(name.to_owned()).or_default();
        *largest = figure.max(*largest);
    }

    /// Records a broken rule.
    pub fn report(&self, rule: Rule, detail: String) {
        self.violations.borrow_mut().push(Violation {
            rule,
            detail,
            at: self.started_at.elapsed(),
        });
    }

    /// The broken rules so far.
    #[must_use]
    pub fn violations(&self) -> Vec<Violation> {
        self.violations.borrow().clone()
    }

    /// The counts so far, by name.
    #[must_use]
    pub fn counts(&self) -> BTreeMap<String, u64> {
        self.counts.borrow().clone()
    }
}
