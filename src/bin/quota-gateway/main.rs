//! The gateway program: the decision library on real sockets.
// Tests fail by panicking, and the figures that they compare are exact.
#![cfg_attr(test, allow(clippy::unwrap_used, clippy::float_cmp, clippy::unchecked_time_subtraction))]

mod config;
mod counter;
mod discovery;
mod driver;
mod error;
mod gossip;
mod http;
mod logging;
mod metrics;
mod patience;
mod rate_limited_warning;
mod reload;
mod server;
mod shutdown;
mod signals;
mod socket;
mod startup;
mod upstream;

use error::StartupError;
use logging::Log;
use patience::retry_blocking;
use signals::SignalStream;
use std::process::ExitCode;
use tokio::runtime;
use tokio::task::LocalSet;

/// Exit status if the program can't start.
const STARTUP_FAILED: u8 = 2;

fn main() -> ExitCode {
    let mut log = Log::start();
    let result = run();
    if let Err(error) = &result {
        log.write_line(&format!("quota-gateway: {error}"));
    }
    log.flush();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(_) => ExitCode::from(STARTUP_FAILED),
    }
}

fn run() -> Result<(), StartupError> {
    let build = || runtime::Builder::new_current_thread().enable_all().build();
    let runtime = retry_blocking(build).map_err(StartupError::Runtime)?;
    let tasks = LocalSet::new();
    tasks.block_on(&runtime, serve())
}

/// Starts the gateway and serves until SIGTERM; SIGHUP reloads the configuration, during the shutdown, too. Signals are
/// handled before anything else is done, as the default would end the process.
async fn serve() -> Result<(), StartupError> {
    let mut terminate = retry_blocking(SignalStream::terminate).map_err(StartupError::SignalHandler)?;
    let mut hangup = retry_blocking(SignalStream::hangup).map_err(StartupError::SignalHandler)?;
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
        () = reload => Ok(()),
    }
}
