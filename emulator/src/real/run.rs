//! Sequence of a run: start, idle phase, load phase.

use super::arguments::RealRun;
use super::clients::{run_clients, ResponseStats};
use super::error::RealRunError;
use super::figures::{RealRunReport, Snapshot};
use super::gateway_config::gateway_config;
use super::gateway_process::GatewayProcess;
use super::stand_ins::StandIns;
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::{sleep, Instant};

/// Pause before the idle phase: after the gateways are ready, their startup can still use processor time.
const STARTUP_SETTLE_TIME: Duration = Duration::from_secs(1);

impl RealRun {
    /// Runs the gateways and returns the report.
    ///
    /// # Errors
    ///
    /// Fails if an argument is out of range, if the program does not exist or does not become ready, or if the system
    /// refuses a socket, a file or a process.
    pub fn run(&self) -> Result<RealRunReport, RealRunError> {
        self.check()?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        LocalSet::new().block_on(&runtime, self.measure())
    }

    async fn measure(&self) -> Result<RealRunReport, RealRunError> {
        let stand_ins = StandIns::start(self.endpoints, self.service_time()).await?;
        let started_at = Instant::now();
        let gateways = self.start_gateways(&stand_ins).await?;
        for gateway in &gateways {
            gateway.wait_until_ready().await?;
        }
        let ready_s = started_at.elapsed().as_secs_f64();
        sleep(STARTUP_SETTLE_TIME).await;
        let at_start = Snapshot::take(&gateways, &stand_ins);
        sleep(self.duration()).await;
        let after_idle = Snapshot::take(&gateways, &stand_ins);
        let responses = self.apply_load(&gateways).await;
        let after_load = Snapshot::take(&gateways, &stand_ins);
        Ok(RealRunReport::new(
            self,
            ready_s,
            [at_start, after_idle, after_load],
            responses,
        ))
    }

    async fn start_gateways(
        &self,
        stand_ins: &StandIns,
    ) -> Result<Vec<GatewayProcess>, RealRunError> {
        let mut gateways = Vec::new();
        for index in 0..self.gateways {
            let config = gateway_config(index, self.gateways, stand_ins);
            gateways.push(GatewayProcess::start(&self.program, index, &config).await?);
        }
        Ok(gateways)
    }

    async fn apply_load(&self, gateways: &[GatewayProcess]) -> ResponseStats {
        let addresses: Vec<_> = gateways.iter().map(GatewayProcess::address).collect();
        run_clients(&addresses, self.requests_per_s, self.duration()).await
    }
}
