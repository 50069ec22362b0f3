//! One run: starts the stand-ins and the gateway, applies the load, and reports.

use super::arguments::CrowdArguments;
use super::member::{Member, PermittedResults};
use super::ordinary::{GatewayState, OrdinaryClients};
use super::process::{GatewayProcess, MemoryReader, ProcessEnd};
use super::report::CrowdReport;
use super::scenario::{CrowdKind, CrowdScenario, Interruption, ORDINARY_CLIENTS};
use super::services::Services;
use crate::error::SoakError;
use crate::loopback::any_port;
use crate::scenario::Scenario;
use nix::sys::resource::{getrlimit, setrlimit, Resource};
use nix::sys::signal::Signal;
use rand::Rng;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::thread::{self, JoinHandle};
use std::time::Duration;
use tokio::runtime::{Builder, Runtime};
use tokio::task::{spawn_local, JoinSet, LocalSet};
use tokio::time::{sleep, sleep_until, Instant};

/// Time for which a killed gateway is down.
const DOWN_TIME: Duration = Duration::from_secs(1);
/// Bounds of the time of an interruption, as shares of the load.
const INTERRUPTION_SHARES: std::ops::Range<f64> = 0.3..0.7;
/// Number of SIGHUPs in a series, and the time between two of them.
const RELOADS: u32 = 20;
const RELOAD_INTERVAL: Duration = Duration::from_millis(50);
/// Number of changes to the endpoint list in a series, and the time between two of them.
const LIST_CHANGES: u32 = 4;
const LIST_CHANGE_INTERVAL: Duration = Duration::from_millis(300);
/// Interval at which the process is looked at.
const WATCH_INTERVAL: Duration = Duration::from_millis(50);

impl CrowdArguments {
    /// Carries out one run with the seed of the arguments.
    ///
    /// # Errors
    ///
    /// Fails if the operating system refuses a socket, a file or a process.
    pub fn run(&self) -> Result<CrowdReport, SoakError> {
        raise_descriptor_limit()?;
        LocalSet::new().block_on(&new_runtime()?, self.run_scenario())
    }

    async fn run_scenario(&self) -> Result<CrowdReport, SoakError> {
        let scenario = self.scenario();
        let gateway = unused_address()?;
        let services = Services::start(&scenario, gateway).await?;
        let started_at = Instant::now();
        let ends_at = started_at + Duration::from_secs(self.seconds);
        let mut run = Run {
            arguments: self,
            scenario: &scenario,
            services: &services,
            ordinary: OrdinaryClients::new(gateway, ends_at + kill_after()),
            processes: 0,
            peak_memory_bytes: 0,
            faults: Vec::new(),
        };
        let permitted = PermittedResults::default();
        let mut clients = JoinSet::new();
        for number in 0..ORDINARY_CLIENTS {
            clients.spawn_local(run.ordinary.clone().run(number));
        }
        let crowd = if scenario.precedes_gateway {
            let crowd = self.start_crowd(&scenario, gateway, ends_at, &permitted);
            sleep(DOWN_TIME).await;
            run.carry_out(started_at, ends_at, || {}).await?;
            crowd
        } else {
            let mut crowd = None;
            run.carry_out(started_at, ends_at, || {
                crowd = Some(self.start_crowd(&scenario, gateway, ends_at, &permitted));
            })
            .await?;
            crowd.ok_or_else(|| io::Error::other("the gateway was never ready"))?
        };
        while clients.join_next().await.is_some() {}
        let ordinary = run.ordinary.results.take();
        let (peak_memory_bytes, process_faults) = (run.peak_memory_bytes, run.faults);
        crowd
            .join()
            .map_err(|_| io::Error::other("a client of the crowd panicked"))??;
        Ok(CrowdReport {
            seed: self.seed,
            peak_memory_bytes,
            ordinary,
            permitted: permitted.counts(),
            process_faults,
            scenario,
        })
    }

    /// Starts the crowd on a thread of its own, so that it does not delay the ordinary clients. Permitted clients stop at
    /// the end of the load, all others go on until the gateway would be killed.
    fn start_crowd(
        &self,
        scenario: &CrowdScenario,
        gateway: SocketAddr,
        load_ends_at: Instant,
        permitted: &PermittedResults,
    ) -> JoinHandle<io::Result<()>> {
        let seed = self.seed;
        let results = permitted.clone();
        let ends_at = load_ends_at + kill_after();
        let scenario = scenario.clone();
        thread::spawn(move || {
            LocalSet::new().block_on(&new_runtime()?, async move {
                let starts_at = Instant::now();
                for number in 0..scenario.members {
                    let kind = scenario.kinds[number % scenario.kinds.len()];
                    let member = Member {
                        kind,
                        gateway,
                        pause: scenario.pause,
                        starts_at,
                        ends_at: if kind == CrowdKind::Permitted {
                            load_ends_at
                        } else {
                            ends_at
                        },
                        results: results.clone(),
                        rng: crate::seeded_rng(seed, "crowd member", number as u64),
                    };
                    spawn_local(member.run());
                }
                sleep_until(ends_at).await;
            });
            Ok(())
        })
    }
}

/// The state of a run.
struct Run<'a> {
    arguments: &'a CrowdArguments,
    scenario: &'a CrowdScenario,
    services: &'a Services,
    ordinary: Rc<OrdinaryClients>,
    /// Number of processes that were started.
    processes: u64,
    peak_memory_bytes: u64,
    faults: Vec<String>,
}

impl Run<'_> {
    /// Starts the gateway, and the crowd once the gateway is ready, interrupts it, and ends it.
    async fn carry_out(
        &mut self,
        started_at: Instant,
        ends_at: Instant,
        start_crowd: impl FnOnce(),
    ) -> io::Result<()> {
        let mut process = self.start_process().await?;
        start_crowd();
        let mut rng = crate::seeded_rng(self.arguments.seed, "interruption", 0);
        let share = rng.random_range(INTERRUPTION_SHARES);
        let interrupted_at = started_at + (ends_at - started_at).mul_f64(share);
        self.watch(&mut process, interrupted_at).await;
        match self.scenario.interruption {
            Interruption::None => {}
            Interruption::Restart => process = self.restart(process).await?,
            Interruption::Reloads => {
                for _ in 0..RELOADS {
                    process.signal(Signal::SIGHUP);
                    sleep(RELOAD_INTERVAL).await;
                }
            }
            Interruption::Lists => {
                for _ in 0..LIST_CHANGES {
                    self.services.change_all_entries();
                    sleep(LIST_CHANGE_INTERVAL).await;
                }
            }
        }
        self.watch(&mut process, ends_at).await;
        self.terminate(process).await;
        Ok(())
    }

    async fn start_process(&mut self) -> io::Result<GatewayProcess> {
        self.processes += 1;
        let arguments = self.arguments;
        let process = GatewayProcess::start(
            &arguments.program,
            arguments.logs.as_deref(),
            self.scenario,
            self.services,
            self.processes + (arguments.seed << 8),
        )?;
        if process.wait_until_ready(self.services).await {
            self.ordinary.set_state(GatewayState::Serving);
        } else {
            self.faults.push("the gateway was not ready in time".into());
        }
        Ok(process)
    }

    async fn restart(&mut self, process: GatewayProcess) -> io::Result<GatewayProcess> {
        self.ordinary.set_state(GatewayState::Interrupted);
        self.record_memory(&process.memory_reader());
        process.kill().await?;
        sleep(DOWN_TIME).await;
        self.start_process().await
    }

    /// Looks at the process until the given time.
    async fn watch(&mut self, process: &mut GatewayProcess, until: Instant) {
        while Instant::now() < until {
            self.record_memory(&process.memory_reader());
            if let Some(end) = process.unexpected_end() {
                self.ordinary.set_state(GatewayState::Interrupted);
                return self.faults.push(format!("the gateway ended: {end}"));
            }
            sleep(WATCH_INTERVAL).await;
        }
    }

    fn record_memory(&mut self, memory: &MemoryReader) {
        self.peak_memory_bytes = self.peak_memory_bytes.max(memory.peak_bytes());
    }

    /// Ends the process by SIGTERM. The clients go on until SIGKILL is due.
    async fn terminate(&mut self, process: GatewayProcess) {
        self.ordinary.set_state(GatewayState::Interrupted);
        let kill_at = Instant::now() + kill_after();
        let memory = process.memory_reader();
        let mut end = std::pin::pin!(process.terminate(kill_at));
        let end = loop {
            tokio::select! {
                end = &mut end => break end,
                () = sleep(WATCH_INTERVAL) => self.record_memory(&memory),
            }
        };
        match end {
            ProcessEnd::InTime => {}
            ProcessEnd::Killed => self
                .faults
                .push("the gateway had not ended when SIGKILL was due".into()),
            ProcessEnd::Failed(end) => self.faults.push(format!("the gateway ended: {end}")),
        }
    }
}

/// Time from SIGTERM to SIGKILL.
fn kill_after() -> Duration {
    Scenario::without_faults().kill_after()
}

fn new_runtime() -> io::Result<Runtime> {
    Builder::new_current_thread().enable_all().build()
}

/// An address on which nothing listens.
fn unused_address() -> io::Result<SocketAddr> {
    TcpListener::bind(any_port())?.local_addr()
}

/// Raises the limit of descriptors of this process as far as the system permits: each client of a crowd takes one.
fn raise_descriptor_limit() -> io::Result<()> {
    let (_, hard) = getrlimit(Resource::RLIMIT_NOFILE)?;
    setrlimit(Resource::RLIMIT_NOFILE, hard, hard)?;
    Ok(())
}
