//! Runs of the gateway's program: stand-ins on loopback for all that it talks to, a load of clients, and what the
//! system reports of its processes.

mod clients;
mod figures;
mod gateway_config;
mod gateway_process;
mod stand_ins;

pub use figures::RealRunFigures;

use clap::Args;
use clients::{run_clients, ResponseFigures};
use figures::Snapshot;
use gateway_process::GatewayProcess;
use stand_ins::StandIns;
use std::path::PathBuf;
use std::time::Duration;
use thiserror::Error;
use tokio::task::LocalSet;
use tokio::time::{sleep, Instant};

/// Bounds of a run, so that it ends by itself and leaves the machine usable.
const MAX_GATEWAYS: u32 = 50;
const MAX_SECONDS: u32 = 120;
const MAX_REQUESTS_PER_S: u32 = 2000;
const MAX_ENDPOINTS: u32 = 20_000;
const MAX_SERVICE_MS: u32 = 10_000;
/// After the gateways are ready, their start may still cost them something for this long.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// A run of the gateway's program.
#[derive(Args, Clone, Debug)]
pub struct RealRun {
    /// The gateway's program.
    #[arg(long, default_value = "target/release/quota-gateway")]
    program: PathBuf,
    /// Gateways side by side.
    #[arg(long, default_value_t = 1)]
    gateways: u32,
    /// Entries of the endpoint list.
    #[arg(long, alias = "backends", default_value_t = 1000)]
    endpoints: u32,
    /// Requests a second at each gateway.
    #[arg(long, default_value_t = 100)]
    requests_per_s: u32,
    /// Seconds without load, and again under load.
    #[arg(long, default_value_t = 5)]
    seconds: u32,
    /// Service time of an endpoint, in ms.
    #[arg(long, alias = "work-ms", default_value_t = 20)]
    service_ms: u32,
}

/// Why a run could not be made; printed as one line.
#[derive(Debug, Error)]
pub enum RealRunError {
    /// An argument is outside its range.
    #[error("{argument}: {value} is not within 1 to {max}")]
    OutOfRange {
        /// The argument's name.
        argument: &'static str,
        /// Its value.
        value: u32,
        /// Largest value allowed.
        max: u32,
    },
    /// The gateway's program is not there.
    #[error("--program: {} is not there", program.display())]
    NoProgram {
        /// The path that was looked at.
        program: PathBuf,
    },
    /// A gateway ended before it listened.
    #[error("the gateway ended at its start")]
    GatewayEnded,
    /// A gateway did not listen in time.
    #[error("never listens")]
    GatewayNeverListens,
    /// A gateway was not ready in time.
    #[error("a gateway is never ready")]
    GatewayNeverReady,
    /// The system refused something.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

impl RealRun {
    /// Makes the run.
    ///
    /// # Errors
    ///
    /// Fails if an argument is out of range, the program is not there or does not become ready, or the system refuses
    /// a socket, a file or a process.
    pub fn run(&self) -> Result<RealRunFigures, RealRunError> {
        self.check()?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        LocalSet::new().block_on(&runtime, self.measure())
    }

    fn check(&self) -> Result<(), RealRunError> {
        within("--gateways", self.gateways, MAX_GATEWAYS)?;
        within("--endpoints", self.endpoints, MAX_ENDPOINTS)?;
        within("--requests-per-s", self.requests_per_s, MAX_REQUESTS_PER_S)?;
        within("--seconds", self.seconds, MAX_SECONDS)?;
        within("--service-ms", self.service_ms, MAX_SERVICE_MS)?;
        if !self.program.is_file() {
            return Err(RealRunError::NoProgram {
                program: self.program.clone(),
            });
        }
        Ok(())
    }

    async fn measure(&self) -> Result<RealRunFigures, RealRunError> {
        let stand_ins = StandIns::start(self.endpoints, self.service_time()).await?;
        let started_at = Instant::now();
        let gateways = self.start_gateways(&stand_ins).await?;
        for gateway in &gateways {
            gateway.wait_until_ready().await?;
        }
        let ready_s = started_at.elapsed().as_secs_f64();
        sleep(SETTLE_TIME).await;
        let at_start = Snapshot::take(&gateways, &stand_ins);
        sleep(self.duration()).await;
        let at_rest = Snapshot::take(&gateways, &stand_ins);
        let responses = self.apply_load(&gateways).await;
        let after_load = Snapshot::take(&gateways, &stand_ins);
        Ok(RealRunFigures::new(
            self,
            ready_s,
            [at_start, at_rest, after_load],
            responses,
        ))
    }

    async fn start_gateways(
        &self,
        stand_ins: &StandIns,
    ) -> Result<Vec<GatewayProcess>, RealRunError> {
        let mut gateways = Vec::new();
        for index in 0..self.gateways {
            let config = gateway_config::gateway_config(index, self.gateways, stand_ins);
            gateways.push(GatewayProcess::start(&self.program, index, &config).await?);
        }
        Ok(gateways)
    }

    async fn apply_load(&self, gateways: &[GatewayProcess]) -> ResponseFigures {
        let addresses: Vec<_> = gateways.iter().map(GatewayProcess::address).collect();
        run_clients(&addresses, self.requests_per_s, self.duration()).await
    }

    fn duration(&self) -> Duration {
        Duration::from_secs(self.seconds.into())
    }

    fn service_time(&self) -> Duration {
        Duration::from_millis(self.service_ms.into())
    }
}

fn within(argument: &'static str, value: u32, max: u32) -> Result<(), RealRunError> {
    if (1..=max).contains(&value) {
        return Ok(());
    }
    Err(RealRunError::OutOfRange {
        argument,
        value,
        max,
    })
}
