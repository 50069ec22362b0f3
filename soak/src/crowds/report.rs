//! The report of a run.

use super::ordinary::{count_not_served, OrdinaryResults, Outcome};
use super::scenario::CrowdScenario;
use std::collections::BTreeMap;
use std::fmt::{Display, Formatter};

/// The report of a run.
pub struct CrowdReport {
    /// The seed of the run.
    pub seed: u64,
    /// What the seed drew.
    pub scenario: CrowdScenario,
    /// Largest peak of the resident memory of the run's processes, in bytes.
    pub peak_memory_bytes: u64,
    /// What the ordinary clients got.
    pub(super) ordinary: OrdinaryResults,
    /// What the permitted clients got.
    pub(super) permitted: BTreeMap<Outcome, u64>,
    /// Processes that crashed, were not ready in time, or did not end in time.
    pub process_faults: Vec<String>,
}

impl CrowdReport {
    /// The violations of the run, one line each.
    #[must_use]
    pub fn violations(&self) -> Vec<String> {
        let mut violations = self.process_faults.clone();
        if self.peak_memory_bytes >= self.scenario.memory_limit_bytes() {
            violations.push(format!(
                "the peak memory is {} bytes, the limit {}",
                self.peak_memory_bytes,
                self.scenario.memory_limit_bytes()
            ));
        }
        let endpoints_are_loaded = self.scenario.loads_endpoints();
        for (clients, not_served) in [
            ("ordinary", self.ordinary.not_served(endpoints_are_loaded)),
            (
                "permitted",
                count_not_served(&self.permitted, endpoints_are_loaded),
            ),
        ] {
            if not_served > 0 {
                violations.push(format!(
                    "{not_served} requests of {clients} clients were not served"
                ));
            }
        }
        if self.ordinary.while_serving.is_empty() {
            violations.push("no ordinary client sent a request".to_owned());
        }
        violations
    }
}

impl Display for CrowdReport {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        let limit = self.scenario.memory_limit_bytes() as i64;
        let margin = limit - self.peak_memory_bytes as i64;
        writeln!(formatter, "seed {}: {}", self.seed, self.scenario)?;
        writeln!(
            formatter,
            "  peak memory {} bytes, margin {margin}",
            self.peak_memory_bytes
        )?;
        writeln!(
            formatter,
            "  ordinary clients: {:?}, longest {:.3?}; interrupted: {:?}",
            self.ordinary.while_serving, self.ordinary.longest, self.ordinary.while_interrupted
        )?;
        if !self.permitted.is_empty() {
            writeln!(formatter, "  permitted clients: {:?}", self.permitted)?;
        }
        for violation in self.violations() {
            writeln!(formatter, "  broken: {violation}")?;
        }
        Ok(())
    }
}
