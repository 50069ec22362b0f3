//! Command line of the emulator.

use clap::{Parser, Subcommand, ValueEnum};
use fleet_emulator::experiment::{self, ExperimentError};
use fleet_emulator::real::{RealRun, RealRunError};
use fleet_emulator::{peak_memory_kb, run, scaling};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Instant;
use thiserror::Error;

/// Exit code of a command that failed.
const EXIT_FAILURE: u8 = 2;

/// Emulates the environment of a fleet of gateways.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    /// Format of the log on standard error.
    #[arg(long, value_enum, default_value = "text", global = true)]
    log_format: LogFormat,
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogFormat {
    /// Human-readable lines.
    Text,
    /// One JSON object per line.
    Json,
}

#[derive(Subcommand)]
enum Command {
    /// Runs an experiment with instances of the decision library on an event clock.
    Run {
        /// TOML file of the experiment.
        experiment: PathBuf,
        /// Seed of all random streams of the experiment.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// File that the report is written to as JSON.
        #[arg(long)]
        report: Option<PathBuf>,
    },
    /// Measures the costs that grow with the number of endpoints, at several sizes.
    #[command(alias = "slopes")]
    Scaling {
        /// Measures fewer rounds, for tests.
        #[arg(long)]
        quick: bool,
        /// File that the fitted lines are written to as JSON.
        #[arg(long)]
        report: Option<PathBuf>,
    },
    /// Runs the gateway's program against stand-ins on loopback and measures its CPU time, memory and traffic.
    Real(RealRun),
}

/// Error of a command, printed as one line.
#[derive(Debug, Error)]
enum CommandError {
    #[error(transparent)]
    Experiment(#[from] ExperimentError),
    #[error(transparent)]
    RealRun(#[from] RealRunError),
    #[error("{}: cannot write the report: {source}", path.display())]
    WriteReport {
        path: PathBuf,
        source: std::io::Error,
    },
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    start_log(arguments.log_format);
    match execute(arguments.command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("fleet-emulator: {error}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

fn start_log(format: LogFormat) {
    let log = tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_ansi(false);
    match format {
        LogFormat::Text => log.without_time().init(),
        LogFormat::Json => log.json().init(),
    }
}

fn execute(command: Command) -> Result<(), CommandError> {
    match command {
        Command::Run {
            experiment,
            seed,
            report,
        } => run_experiment(&experiment, seed, report),
        Command::Scaling { quick, report } => measure_scaling(quick, report),
        Command::Real(real_run) => {
            let report = real_run.run()?;
            print!("{report}");
            Ok(())
        }
    }
}

fn run_experiment(
    path: &Path,
    seed: u64,
    report_path: Option<PathBuf>,
) -> Result<(), CommandError> {
    let experiment = experiment::load(path)?;
    let started_at = Instant::now();
    let report = run(&experiment, seed)?;
    let emulated_per_real_s = report.seconds / started_at.elapsed().as_secs_f64();
    let memory_mb = peak_memory_kb("self") / 1000.0;
    print!("{report}");
    println!(
        "{emulated_per_real_s:.3} emulated seconds per real second, memory: {memory_mb:.0} MB at most"
    );
    write_report(report_path, &report)
}

fn measure_scaling(quick: bool, report_path: Option<PathBuf>) -> Result<(), CommandError> {
    let lines = scaling::measure_all(quick);
    for line in &lines {
        print!("{line}");
    }
    write_report(report_path, &lines)
}

fn write_report(path: Option<PathBuf>, report: &impl serde::Serialize) -> Result<(), CommandError> {
    let Some(path) = path else { return Ok(()) };
    let written = serde_json::to_string_pretty(report)
        .map_err(std::io::Error::from)
        .and_then(|text| std::fs::write(&path, text + "\n"));
    written.map_err(|source| CommandError::WriteReport { path, source })
}
