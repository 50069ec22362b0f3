//! The report of a run.

use crate::rules::{Rule, Violation};
use crate::scenario::Scenario;
use std::collections::BTreeMap;
use std::fmt::{Display, Formatter};
use std::time::Duration;

/// Number of violations that a report shows in full.
const MAX_SHOWN_VIOLATIONS: usize = 30;

/// The report of a run.
pub struct SoakReport {
    /// The violations, in the order of their reports.
    pub violations: Vec<Violation>,
    /// The counters and largest values of the run, by name.
    pub counts: BTreeMap<String, u64>,
    /// The seed of the run.
    pub seed: u64,
    /// The scenario that the seed drew.
    pub scenario: Scenario,
    /// The longest scheduling delay of this process.
    pub worst_delay: Duration,
}

impl Display for SoakReport {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        for (name, count) in &self.counts {
            writeln!(formatter, "{count:8} {name}")?;
        }
        let mut by_rule: BTreeMap<Rule, usize> = BTreeMap::new();
        for violation in &self.violations {
            *by_rule.entry(violation.rule).or_default() += 1;
        }
        for (rule, count) in by_rule {
            writeln!(formatter, "{count:8} times broken: {rule:?}")?;
        }
        for violation in self.violations.iter().take(MAX_SHOWN_VIOLATIONS) {
            writeln!(formatter, "{violation}")?;
        }
        if self.violations.len() > MAX_SHOWN_VIOLATIONS {
            writeln!(
                formatter,
                "and {} more",
                self.violations.len() - MAX_SHOWN_VIOLATIONS
            )?;
        }
        let (seed, broken) = (self.seed, self.violations.len());
        writeln!(
            formatter,
            "seed {seed}: {broken} rules broken; {}; the stand-ins ran {:?} late at worst",
            self.scenario, self.worst_delay
        )
    }
}
