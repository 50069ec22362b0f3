//! The gateway program: runs the decision library on sockets, in one thread.
// Tests fail by panicking, and the values that they compare are exact.
#![cfg_attr(
    test,
    allow(
        clippy::unwrap_used,
        clippy::float_cmp,
        clippy::unchecked_time_subtraction
    )
)]

mod config;
mod counter;
mod discovery;
mod driver;
mod error;
mod gossip;
mod http;
mod lifecycle;
mod logging;
mod memory;
mod metrics;
mod poll_once;
mod rate_limited_warning;
mod reload;
mod retry;
mod server;
mod shutdown;
mod signals;
mod socket;
mod startup;
mod transient_errors;
mod upstream;

use error::StartupError;
use logging::Log;
use retry::retry_blocking;
use signals::Signals;
use std::process::ExitCode;
use tikv_jemallocator::Jemalloc;
use tokio::runtime;
use tokio::task::LocalSet;

/// The allocator returns free pages to the system at once (`.cargo/config.toml`), so that the resident memory, which the
/// platform limits, follows what is allocated.
#[global_allocator]
static ALLOCATOR: Jemalloc = Jemalloc;

/// Exit status of a failed start.
const STARTUP_FAILED: u8 = 2;

fn main() -> ExitCode {
    let signals = retry_blocking(Signals::register);
    let mut log = Log::start();
    let result = signals.map_err(StartupError::SignalHandler).and_then(run);
    if let Err(error) = &result {
        log.write_line(&format!("quota-gateway: {error}"));
    }
    log.flush();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(_) => ExitCode::from(STARTUP_FAILED),
    }
}

fn run(signals: Signals) -> Result<(), StartupError> {
    let build = || runtime::Builder::new_current_thread().enable_all().build();
    let runtime = retry_blocking(build).map_err(StartupError::Runtime)?;
    let tasks = LocalSet::new();
    tasks.block_on(&runtime, serve(signals))
}

/// Starts the gateway and serves until SIGTERM. SIGHUP reloads the configuration, also during the shutdown, in which
/// requests still need discovery and the counter.
async fn serve(signals: Signals) -> Result<(), StartupError> {
    let mut terminate = signals
        .terminate
        .listen()
        .map_err(StartupError::SignalHandler)?;
    let mut hangup = signals
        .hangup
        .listen()
        .map_err(StartupError::SignalHandler)?;
    let start = async { startup::start(config::load().await?).await };
    let gateway = tokio::select! {
        started = start => started?,
        () = terminate.recv() => return Ok(()),
    };
    let addresses = gateway.addresses;
    let reload = async {
        loop {
            hangup.recv().await;
            addresses.reload().await;
        }
    };
    let serve_until_end = async {
        terminate.recv().await;
        gateway.shutdown.run().await;
    };
    tokio::select! {
        () = serve_until_end => Ok(()),
        // `reload` never returns; the branch is only there to poll it.
        () = reload => Ok(()),
    }
}
