//! Arguments of a run of the gateway's program, and their limits.

use super::error::RealRunError;
use clap::Args;
use std::path::PathBuf;
use std::time::Duration;

// Limits of a run, so that the run ends by itself and leaves the machine usable.
const MAX_GATEWAYS: u32 = 50;
const MAX_SECONDS: u32 = 120;
const MAX_REQUESTS_PER_S: u32 = 2000;
const MAX_ENDPOINTS: u32 = 20_000;
const MAX_SERVICE_MS: u32 = 10_000;

/// A run of the gateway's program against stand-ins.
#[derive(Args, Clone, Debug)]
pub struct RealRun {
    /// Path of the gateway's program.
    #[arg(long, default_value = "target/release/quota-gateway")]
    pub(super) program: PathBuf,
    /// Number of gateways.
    #[arg(long, default_value_t = 1)]
    pub(super) gateways: u32,
    /// Number of entries of the endpoint list.
    #[arg(long, alias = "backends", default_value_t = 1000)]
    pub(super) endpoints: u32,
    /// Requests per second to each gateway.
    #[arg(long, default_value_t = 100)]
    pub(super) requests_per_s: u32,
    /// Length of the idle phase and of the load phase, in seconds each.
    #[arg(long, default_value_t = 5)]
    pub(super) seconds: u32,
    /// Service time of a request at an endpoint, in ms.
    #[arg(long, alias = "work-ms", default_value_t = 20)]
    pub(super) service_ms: u32,
}

impl RealRun {
    /// Checks that the arguments are within their limits and that the program exists.
    pub(super) fn check(&self) -> Result<(), RealRunError> {
        check_range("--gateways", self.gateways, MAX_GATEWAYS)?;
        check_range("--endpoints", self.endpoints, MAX_ENDPOINTS)?;
        check_range("--requests-per-s", self.requests_per_s, MAX_REQUESTS_PER_S)?;
        check_range("--seconds", self.seconds, MAX_SECONDS)?;
        check_range("--service-ms", self.service_ms, MAX_SERVICE_MS)?;
        if !self.program.is_file() {
            return Err(RealRunError::NoProgram {
                program: self.program.clone(),
            });
        }
        Ok(())
    }

    /// Length of the idle phase, and of the load phase.
    pub(super) fn duration(&self) -> Duration {
        Duration::from_secs(self.seconds.into())
    }

    /// Service time of a request at an endpoint.
    pub(super) fn service_time(&self) -> Duration {
        Duration::from_millis(self.service_ms.into())
    }
}

fn check_range(argument: &'static str, value: u32, max: u32) -> Result<(), RealRunError> {
    if (1..=max).contains(&value) {
        return Ok(());
    }
    Err(RealRunError::OutOfRange {
        argument,
        value,
        max,
    })
}
