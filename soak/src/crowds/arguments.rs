//! The command-line arguments of the load test with crowds.

use super::scenario::{CrowdKind, CrowdScenario, Interruption};
use crate::arguments::{check_file, check_range};
use crate::error::SoakError;
use clap::Parser;
use std::path::PathBuf;

// Upper bounds, so that a run ends by itself and leaves the machine usable.
const MAX_SECONDS: u64 = 120;
const MAX_RUNS: u64 = 500;
const MAX_MEMBERS: usize = 2000;
const MAX_LIST_ENTRIES: usize = 10_000;

/// Runs one gateway beside crowds of clients, and checks its peak memory and what ordinary clients get.
#[derive(Clone, Debug, Parser)]
#[command(version)]
pub struct CrowdArguments {
    /// Path of the gateway program.
    #[arg(long, default_value = "target/release/quota-gateway")]
    pub(crate) program: PathBuf,
    /// Seed of all random draws. The timing of the processes still differs from run to run.
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// Number of runs, one after the other, with consecutive seeds.
    #[arg(long, default_value_t = 1)]
    pub(crate) runs: u64,
    /// Duration of the load of a run, in seconds.
    #[arg(long, default_value_t = 12)]
    pub(crate) seconds: u64,
    /// Kind of the crowd, in place of the kinds that the seed draws. The machine has the least memory and the most
    /// descriptors that the operators name.
    #[arg(long, value_enum)]
    pub(crate) kind: Option<CrowdKind>,
    /// Number of clients in the crowd, with `--kind`.
    #[arg(long, default_value_t = 700, requires = "kind")]
    pub(crate) members: usize,
    /// Number of entries in the endpoint list, with `--kind`.
    #[arg(long, default_value_t = 6, requires = "kind")]
    pub(crate) list_entries: usize,
    /// What interrupts the gateway, with `--kind`.
    #[arg(long, value_enum, default_value_t = Interruption::None, requires = "kind")]
    pub(crate) interruption: Interruption,
    /// Folder for the gateways' logs, which are then written at the level debug.
    #[arg(long)]
    pub(crate) logs: Option<PathBuf>,
}

impl CrowdArguments {
    /// Returns the arguments of each run, with consecutive seeds.
    pub fn each_run(&self) -> impl Iterator<Item = CrowdArguments> + '_ {
        (0..self.runs).map(|number| CrowdArguments {
            seed: self.seed.wrapping_add(number),
            ..self.clone()
        })
    }

    /// Checks the ranges of the arguments and the paths.
    ///
    /// # Errors
    ///
    /// Fails if an argument is out of range, or if the program doesn't exist.
    pub fn check(&self) -> Result<(), SoakError> {
        check_range("--seconds", self.seconds, MAX_SECONDS)?;
        check_range("--runs", self.runs, MAX_RUNS)?;
        check_range("--members", self.members as u64, MAX_MEMBERS as u64)?;
        check_range(
            "--list-entries",
            self.list_entries as u64,
            MAX_LIST_ENTRIES as u64,
        )?;
        check_file("--program", &self.program)
    }

    /// The scenario of the run.
    pub(crate) fn scenario(&self) -> CrowdScenario {
        match self.kind {
            Some(kind) => CrowdScenario {
                list_entries: self.list_entries,
                interruption: self.interruption,
                ..CrowdScenario::of_kind(kind, self.members)
            },
            None => CrowdScenario::draw(self.seed),
        }
    }
}
