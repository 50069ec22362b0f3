//! The command line of the emulator.

use clap::{Parser, Subcommand, ValueEnum};
use fleet_emulator::{experiment, real, report::Report, run, slopes};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Instant;

/// Plays the surroundings of a fleet of gateways.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    /// The form of the log, which goes to standard error.
    #[arg(long, value_enum, default_value = "text", global = true)]
    log_format: LogFormat,
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogFormat {
    /// Lines for people.
    Text,
    /// One JSON object a line.
    Json,
}

#[derive(Subcommand)]
enum Command {
    /// Plays an experiment with hollow gateways on the event clock.
    Run {
        /// The experiment's file.
        experiment: PathBuf,
        /// Seed of all random streams.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Writes the report to this file as JSON.
        #[arg(long)]
        report: Option<PathBuf>,
    },
    /// Measures what grows with the size of the fleet, at several sizes.
    Slopes {
        /// Fewer turns: a look, for tests.
        #[arg(long)]
        quick: bool,
        /// Writes the slopes to this file as JSON.
        #[arg(long)]
        report: Option<PathBuf>,
    },
    /// Serves stand-ins on loopback for real gateways and reads their processor time, memory and bytes.
    Real(real::Rig),
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let log = tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false);
    match arguments.log_format {
        LogFormat::Text => log.without_time().init(),
        LogFormat::Json => log.json().init(),
    }
    let done = match arguments.command {
        Command::Run { experiment, seed, report } => play(&experiment, seed, report),
        Command::Slopes { quick, report } => measure(quick, report),
        Command::Real(rig) => rig.play().map(|figures| print!("{figures}")),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("fleet-emulator: {message}");
            ExitCode::from(2)
        }
    }
}

fn write(path: Option<PathBuf>, value: &impl serde::Serialize) -> Result<(), String> {
    let Some(path) = path else { return Ok(()) };
    let text = serde_json::to_string_pretty(value).map_err(|e| e.to_string())? + "\n";
    std::fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))
}

fn play(path: &std::path::Path, seed: u64, report: Option<PathBuf>) -> Result<(), String> {
    let experiment = experiment::load(path)?;
    let begun = Instant::now();
    let found = run(&experiment, seed)?;
    let real_s = begun.elapsed().as_secs_f64();
    print!("{}", summary(&found));
    let memory_mb = slopes::memory_of_kb("self", "VmHWM") / 1000.0;
    println!(
        "{:.3} emulated seconds for each real second, {memory_mb:.0} MB at most",
        found.seconds / real_s
    );
    write(report, &found)
}

fn summary(r: &Report) -> String {
    let (q, a, g, b) = (&r.requests, &r.attempts, &r.gateways, &r.backends);
    let share = |part: u64| 100.0 * part as f64 / q.tries.max(1) as f64;
    let mean = b.requests.mean.max(f64::MIN_POSITIVE);
    let broken = match &r.rules.first {
        Some(first) => format!("BROKEN, {:?}; first {first}", r.rules),
        None => "kept".to_owned(),
    };
    format!(
        "{} seed {}: {} s, {} counted\n\
         tries {}, {:.1}% served in time, {:.1}% late, {:.1}% refused, {:.1}% failed; p50 {:.1} ms, p99 {:.1} ms\n\
         attempts {}: {} further, {} full, {} not connected, {} timed out, {} handshakes\n\
         a gateway: tries {:.0} to {:.0}, backends used {:.0} to {:.0}, connections {:.0} at most\n\
         a backend: requests {:.1} in the mean, p99 {:.2} and most {:.2} of it, {} without; senders {:.0} to {:.0}\n\
         counter: {:.3} calls a try, {} in vain; list: {} changes, {} entries told\n\
         rules {broken}\n",
        r.experiment, r.seed, r.seconds, r.counted_s, q.tries, share(q.served), share(q.late), share(q.refused),
        share(q.failed), r.latency_ms.p50, r.latency_ms.p99, a.sent, a.further, a.full, a.connect_failed, a.timeout,
        a.handshakes, g.tries.least, g.tries.most, g.backends_used.least, g.backends_used.most, g.connections.most,
        b.requests.mean, b.requests.p99 / mean, b.requests.most / mean, b.without, b.senders.least, b.senders.most,
        r.counter.calls_per_try, r.counter.timeout + r.counter.full, r.discovery.changes, r.discovery.entries_told,
    )
}

fn measure(quick: bool, report: Option<PathBuf>) -> Result<(), String> {
    let slopes = slopes::all(quick);
    slopes.iter().for_each(|slope| print!("{}", slope.lines()));
    write(report, &slopes)
}
