//! What a run has shown.

use crate::rules::{Rule, Violation};
use crate::scenario::Scenario;
use std::collections::BTreeMap;
use std::fmt::{Display, Formatter};
use std::time::Duration;

/// Violations that a report shows in full.
const MAX_SHOWN: usize = 30;

/// What a run has shown.
pub struct SoakReport {
    /// The broken rules.
    pub violations: Vec<Violation>,
    /// What was counted, by name.
    pub counts: BTreeMap<String, u64>,
    /// The seed.
    pub seed: u64,
    /// The scenario that the seed drew.
    pub scenario: Scenario,
    /// By how much this process ran late at worst.
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
        for violation in self.violations.iter().take(MAX_SHOWN) {
            writeln!(formatter, "{violation}")?;
        }
        if self.violations.len() > MAX_SHOWN {
            writeln!(formatter, "and {} more", self.violations.len() - MAX_SHOWN)?;
        }
        let (seed, broken) = (self.seed, self.violations.len());
        writeln!(
            formatter,
            "seed {seed}: {broken} rules broken; {}; the stand-ins ran {:?} late at worst",
            self.scenario, self.worst_delay
        )
    }
}
