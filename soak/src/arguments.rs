//! The arguments of the soak test.

use crate::error::SoakError;
use clap::{Args, Parser};
use std::path::{Path, PathBuf};

/// Bounds of a run, so that it ends by itself and leaves the machine usable.
const MAX_GATEWAYS: usize = 60;
const MAX_ENDPOINTS: usize = 200;
const MAX_SECONDS: u64 = 600;
const MAX_CLIENTS: usize = 20;
const MAX_RUNS: u64 = 500;

/// Runs many processes of the gateway on loopback under overlapping faults and checks them by the rules.
#[derive(Clone, Debug, Parser)]
#[command(version)]
pub struct SoakArguments {
    #[command(flatten)]
    pub(crate) size: RunSize,
    /// The gateway's program.
    #[arg(long, default_value = "target/release/quota-gateway")]
    pub(crate) program: PathBuf,
    /// A library that makes system calls of half of the gateways fail, as tests/shim has it, compiled.
    #[arg(long)]
    pub(crate) faults_library: Option<PathBuf>,
    /// Seed of all that is drawn. What the processes make of it differs from run to run.
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// Runs one after the other, with this seed and those that follow it.
    #[arg(long, default_value_t = 1)]
    pub(crate) runs: u64,
    /// Gateways poll a service that all share for the list, in place of an agent that pushes it.
    #[arg(long)]
    pub(crate) polled: bool,
    /// Without faults.
    #[arg(long)]
    pub(crate) calm: bool,
    /// Writes the gateways' logs, at the level debug, into this folder.
    #[arg(long)]
    pub(crate) logs: Option<PathBuf>,
}

/// The size of a run.
#[derive(Args, Clone, Debug)]
pub(crate) struct RunSize {
    /// Gateways side by side.
    #[arg(long, default_value_t = 24)]
    pub(crate) gateways: usize,
    /// Endpoints.
    #[arg(long, default_value_t = 30)]
    pub(crate) endpoints: usize,
    /// Clients for each gateway.
    #[arg(long, default_value_t = 3)]
    pub(crate) clients: usize,
    /// Percentage of requests whose clients disconnect before the response. Half of them first send up to 4 MiB of
    /// further bytes.
    #[arg(long = "leaving-percent", default_value_t = 8)]
    pub(crate) early_disconnect_percent: u32,
    /// Length of the load.
    #[arg(long, default_value_t = 30)]
    pub(crate) seconds: u64,
}

impl SoakArguments {
    /// The arguments of each run: one seed after the other.
    pub fn each_run(&self) -> impl Iterator<Item = SoakArguments> + '_ {
        (0..self.runs).map(|number| SoakArguments {
            seed: self.seed.wrapping_add(number),
            ..self.clone()
        })
    }

    /// Checks the arguments.
    ///
    /// # Errors
    ///
    /// Fails if one is out of range, or a file is not there.
    pub fn check(&self) -> Result<(), SoakError> {
        within("--gateways", self.size.gateways as u64, MAX_GATEWAYS as u64)?;
        within(
            "--endpoints",
            self.size.endpoints as u64,
            MAX_ENDPOINTS as u64,
        )?;
        within("--clients", self.size.clients as u64, MAX_CLIENTS as u64)?;
        within("--seconds", self.size.seconds, MAX_SECONDS)?;
        within("--runs", self.runs, MAX_RUNS)?;
        check_file("--program", &self.program)?;
        self.faults_library
            .as_ref()
            .map_or(Ok(()), |library| check_file("--faults-library", library))
    }
}

fn within(argument: &'static str, value: u64, max: u64) -> Result<(), SoakError> {
    if (1..=max).contains(&value) {
        return Ok(());
    }
    Err(SoakError::OutOfRange {
        argument,
        value,
        max,
    })
}

fn check_file(argument: &'static str, path: &Path) -> Result<(), SoakError> {
    if path.is_file() {
        return Ok(());
    }
    Err(SoakError::NotThere {
        argument,
        path: path.to_path_buf(),
    })
}
