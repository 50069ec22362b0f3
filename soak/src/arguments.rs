//! The command-line arguments of the soak test.

use crate::error::SoakError;
use clap::{Args, Parser};
use std::path::{Path, PathBuf};

// Upper bounds, so that a run ends by itself and leaves the machine usable.
const MAX_GATEWAYS: usize = 60;
const MAX_ENDPOINTS: usize = 200;
const MAX_SECONDS: u64 = 600;
const MAX_CLIENTS: usize = 20;
const MAX_RUNS: u64 = 500;

/// Runs many processes of the gateway on loopback under overlapping faults and checks the rules of the protocol.
#[derive(Clone, Debug, Parser)]
#[command(version)]
pub struct SoakArguments {
    #[command(flatten)]
    pub(crate) size: RunSize,
    /// Path of the gateway program.
    #[arg(long, default_value = "target/release/quota-gateway")]
    pub(crate) program: PathBuf,
    /// Path of the library, compiled from tests/shim, that makes system calls of half of the gateways fail.
    #[arg(long)]
    pub(crate) faults_library: Option<PathBuf>,
    /// Seed of all random draws. The timing of the processes still differs from run to run.
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// Number of runs, one after the other, with consecutive seeds.
    #[arg(long, default_value_t = 1)]
    pub(crate) runs: u64,
    /// Lets the gateways poll a shared service for the endpoint list, in place of an agent that pushes the list.
    #[arg(long)]
    pub(crate) polled: bool,
    /// Injects no faults.
    #[arg(id = "calm", long = "calm")]
    pub(crate) without_faults: bool,
    /// Folder for the gateways' logs, which are then written at the level debug.
    #[arg(long)]
    pub(crate) logs: Option<PathBuf>,
}

/// The size of a run.
#[derive(Args, Clone, Debug)]
pub(crate) struct RunSize {
    /// Number of gateways.
    #[arg(long, default_value_t = 24)]
    pub(crate) gateways: usize,
    /// Number of endpoints.
    #[arg(long, default_value_t = 30)]
    pub(crate) endpoints: usize,
    /// Number of clients of the steady load per gateway.
    #[arg(long, default_value_t = 3)]
    pub(crate) clients: usize,
    /// Percentage of requests whose clients disconnect before the response. Half of these clients send up
    /// to 4 MiB of further bytes first.
    #[arg(
        id = "leaving_percent",
        long = "leaving-percent",
        value_name = "LEAVING_PERCENT",
        default_value_t = 8
    )]
    pub(crate) early_disconnect_percent: u32,
    /// Duration of the load, in seconds.
    #[arg(long, default_value_t = 30)]
    pub(crate) seconds: u64,
}

impl SoakArguments {
    /// Returns the arguments of each run, with consecutive seeds.
    pub fn each_run(&self) -> impl Iterator<Item = SoakArguments> + '_ {
        (0..self.runs).map(|number| SoakArguments {
            seed: self.seed.wrapping_add(number),
            ..self.clone()
        })
    }

    /// Checks the ranges of the arguments and the paths.
    ///
    /// # Errors
    ///
    /// Fails if an argument is out of range, or if a file doesn't exist.
    pub fn check(&self) -> Result<(), SoakError> {
        check_range("--gateways", self.size.gateways as u64, MAX_GATEWAYS as u64)?;
        check_range(
            "--endpoints",
            self.size.endpoints as u64,
            MAX_ENDPOINTS as u64,
        )?;
        check_range("--clients", self.size.clients as u64, MAX_CLIENTS as u64)?;
        check_range("--seconds", self.size.seconds, MAX_SECONDS)?;
        check_range("--runs", self.runs, MAX_RUNS)?;
        check_file("--program", &self.program)?;
        self.faults_library
            .as_ref()
            .map_or(Ok(()), |library| check_file("--faults-library", library))
    }
}

pub(crate) fn check_range(argument: &'static str, value: u64, max: u64) -> Result<(), SoakError> {
    if (1..=max).contains(&value) {
        return Ok(());
    }
    Err(SoakError::OutOfRange {
        argument,
        value,
        max,
    })
}

pub(crate) fn check_file(argument: &'static str, path: &Path) -> Result<(), SoakError> {
    if path.is_file() {
        return Ok(());
    }
    Err(SoakError::FileNotFound {
        argument,
        path: path.to_path_buf(),
    })
}
