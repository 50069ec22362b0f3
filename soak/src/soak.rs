//! One run, from its arguments to its report.

use crate::clients::Client;
use crate::conditions::Conditions;
use crate::counter;
use crate::crowd;
use crate::discovery::Discovery;
use crate::endpoint::RunningEndpoint;
use crate::faults::{self, draw_call_faults, shut_down, Processes};
use crate::gateway::{free_address, Gateway, GatewayState, Launcher};
use crate::gateway_config::{Addresses, Site, RULES};
use crate::judge::{Judge, Rule, Violation};
use crate::lag::Lag;
use crate::misbehaving_clients;
use crate::world::{RunSettings, World};
use clap::Args;
use clap::Parser;
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::fmt::{Display, Formatter};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::task::{JoinSet, LocalSet};
use tokio::time::{sleep, Instant};

/// Bounds of a run, so that it ends by itself and leaves the machine usable.
const MAX_GATEWAYS: usize = 60;
const MAX_ENDPOINTS: usize = 200;
const MAX_SECONDS: u64 = 600;
const MAX_CLIENTS: usize = 20;
const MAX_RUNS: u64 = 500;
/// Clients that misbehave, for each gateway.
const MISBEHAVING_CLIENTS_PER_GATEWAY: usize = 1;
/// What is in progress when the load ends comes to its end within this time.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Violations that a report shows in full.
const MAX_SHOWN: usize = 30;

/// Runs many processes of the gateway on loopback under overlapping faults and judges them by the rules.
#[derive(Clone, Debug, Parser)]
#[command(version)]
pub struct Soak {
    #[command(flatten)]
    size: Size,
    /// The gateway's program.
    #[arg(long, default_value = "target/release/quota-gateway")]
    program: PathBuf,
    /// A library that makes system calls of half of the gateways fail, as tests/shim has it, compiled.
    #[arg(long)]
    faults_library: Option<PathBuf>,
    /// Seed of all that is drawn. What the processes make of it differs from run to run.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Runs one after the other, with this seed and those that follow it.
    #[arg(long, default_value_t = 1)]
    runs: u64,
    /// Gateways ask a service that all share for the list, in place of an agent that pushes it.
    #[arg(long)]
    polled: bool,
    /// Without faults.
    #[arg(long)]
    calm: bool,
    /// Writes the gateways' logs, at the level debug, into this folder.
    #[arg(long)]
    logs: Option<PathBuf>,
}

/// The size of a run.
#[derive(Args, Clone, Debug)]
struct Size {
    /// Gateways side by side.
    #[arg(long, default_value_t = 24)]
    gateways: usize,
    /// Endpoints.
    #[arg(long, default_value_t = 30)]
    endpoints: usize,
    /// Clients for each gateway.
    #[arg(long, default_value_t = 3)]
    clients: usize,
    /// Requests in a hundred whose clients leave before their answer, half of them behind up to 4 MB sent ahead.
    #[arg(long, default_value_t = 8)]
    leaving_percent: u32,
    /// Length of the load.
    #[arg(long, default_value_t = 30)]
    seconds: u64,
}

/// Why a run could not be made; printed as one line.
#[derive(Debug, Error)]
pub enum SoakError {
    /// An argument lies outside its range.
    #[error("{argument}: {value} is not within 1 to {max}")]
    OutOfRange {
        /// The argument's name.
        argument: &'static str,
        /// Its value.
        value: u64,
        /// Largest value allowed.
        max: u64,
    },
    /// A file that an argument names is not there.
    #[error("{argument}: {} is not there", path.display())]
    NotThere {
        /// The argument's name.
        argument: &'static str,
        /// The path that was looked at.
        path: PathBuf,
    },
    /// The system refused something.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

/// What a run has shown.
pub struct SoakReport {
    /// The broken rules.
    pub violations: Vec<Violation>,
    /// What was counted, by name.
    pub counts: BTreeMap<String, u64>,
    /// The seed.
    pub seed: u64,
    /// What the run was made under.
    pub conditions: Conditions,
    /// By how much the stand-ins ran late at worst.
    pub worst_lag: Duration,
}

impl Soak {
    /// The runs that were asked for.
    pub fn each_run(&self) -> impl Iterator<Item = Soak> + '_ {
        (0..self.runs).map(|number| Soak {
            seed: self.seed.wrapping_add(number),
            ..self.clone()
        })
    }

    /// Makes one run, with the first seed.
    ///
    /// # Errors
    ///
    /// Fails if the system refuses a socket or a process.
    pub fn run(&self) -> Result<SoakReport, SoakError> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        LocalSet::new().block_on(&runtime, self.play())
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
        is_there("--program", &self.program)?;
        self.faults_library
            .as_ref()
            .map_or(Ok(()), |library| is_there("--faults-library", library))
    }

    async fn play(&self) -> Result<SoakReport, SoakError> {
        let ends_at = Instant::now() + Duration::from_secs(self.size.seconds);
        let conditions = if self.calm {
            Conditions::calm()
        } else {
            Conditions::draw(self.seed)
        };
        let run = RunSettings {
            conditions,
            seed: self.seed,
            is_polled: self.polled,
        };
        let world = Rc::new(World::new(Judge::new(RULES), Lag::start(), ends_at, run));
        let processes = Rc::new(self.start_processes(&world).await?);
        let mut load = self.start_load(&world);
        if self.calm {
            while !world.has_ended() {
                sleep(Duration::from_millis(100)).await;
            }
        } else {
            faults::run(world.clone(), processes.clone()).await;
        }
        let _ = tokio::time::timeout(SETTLE_TIME, async {
            while load.join_next().await.is_some() {}
        })
        .await;
        Self::finish(&world, &processes).await;
        Ok(self.report(&world))
    }

    async fn start_processes(&self, world: &Rc<World>) -> Result<Processes, SoakError> {
        let mut endpoints = HashMap::new();
        for _ in 0..self.size.endpoints {
            let (number, running) = RunningEndpoint::start(world, false).await?;
            endpoints.insert(number, running);
        }
        world.list_changes();
        let discovery = Discovery::start(world).await?;
        let counter = counter::start(world).await?;
        let launcher = Launcher {
            program: self.program.clone(),
            site: Site {
                gateways: self.size.gateways,
                is_polled: self.polled,
                conditions: world.conditions,
            },
            faults_library: self.faults_library.clone(),
            log_folder: self.logs.clone(),
        };
        let mut rng = crate::stream(self.seed, "call faults", 0);
        let mut gateways = HashMap::new();
        for index in 0..self.size.gateways {
            let addresses = Addresses {
                listen: free_address()?,
                discovery: discovery.address,
                counter,
            };
            world
                .gateways
                .borrow_mut()
                .push(GatewayState::new(addresses.listen));
            let gateway = Gateway::start(
                world,
                &launcher,
                index,
                addresses,
                draw_call_faults(&mut rng),
            )?;
            gateways.insert(index, gateway);
        }
        for gateway in gateways.values_mut() {
            gateway.wait_until_ready(world).await;
        }
        Ok(Processes {
            launcher,
            gateways: RefCell::new(gateways),
            endpoints: RefCell::new(endpoints),
            discovery: RefCell::new(Some(discovery)),
        })
    }

    fn start_load(&self, world: &Rc<World>) -> JoinSet<()> {
        let mut load = JoinSet::new();
        for number in 0..self.size.gateways * self.size.clients {
            load.spawn_local(
                Client::new(world.clone(), number as u64, self.size.leaving_percent).run(),
            );
        }
        for number in 0..self.size.gateways * MISBEHAVING_CLIENTS_PER_GATEWAY {
            load.spawn_local(misbehaving_clients::run(world.clone(), number as u64));
        }
        let crowd = world.conditions.crowd_clients();
        for number in 0..self.size.gateways * crowd {
            load.spawn_local(crowd::run(world.clone(), number / crowd, number as u64));
        }
        load
    }

    /// Asks each gateway for the broken rules that it has counted, and ends it.
    async fn finish(world: &Rc<World>, processes: &Processes) {
        let gateways = std::mem::take(&mut *processes.gateways.borrow_mut());
        let mut ends = JoinSet::new();
        for (index, mut gateway) in gateways {
            let world = world.clone();
            let mut rng = crate::stream(world.seed, "last shutdown", index as u64);
            ends.spawn_local(async move {
                gateway.check_process(&world);
                match gateway.own_violations().await {
                    Some(0) => {}
                    Some(count) => {
                        let detail = format!("gateway {index} has counted {count} broken rules");
                        world.judge.borrow_mut().report(Rule::OwnCheck, detail);
                    }
                    None => {
                        let detail = format!("gateway {index} does not tell its metrics");
                        world.judge.borrow_mut().report(Rule::Process, detail);
                    }
                }
                shut_down(&world, gateway, &mut rng).await;
            });
        }
        while ends.join_next().await.is_some() {}
    }

    fn report(&self, world: &World) -> SoakReport {
        let judge = world.judge.borrow();
        SoakReport {
            violations: judge.violations.clone(),
            counts: judge.counts.clone(),
            seed: self.seed,
            conditions: world.conditions,
            worst_lag: world.lag.worst_ever(),
        }
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

fn is_there(argument: &'static str, path: &Path) -> Result<(), SoakError> {
    if path.is_file() {
        return Ok(());
    }
    Err(SoakError::NotThere {
        argument,
        path: path.to_path_buf(),
    })
}

impl Display for SoakReport {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        for (name, count) in &self.counts {
            writeln!(formatter, "{count:8} {name}")?;
        }
        let mut by_rule: BTreeMap<Rule, usize> = BTreeMap::new();
        for violation in &self.violations {
            *by_rule.entry(violation.rule).or_default() += 1;
        }
        for (rule, count) in by_rule {
            writeln!(formatter, "{count:8} times broken: {rule:?}")?;
        }
        for violation in self.violations.iter().take(MAX_SHOWN) {
            writeln!(formatter, "{violation}")?;
        }
        if self.violations.len() > MAX_SHOWN {
            writeln!(formatter, "and {} more", self.violations.len() - MAX_SHOWN)?;
        }
        let (seed, broken) = (self.seed, self.violations.len());
        writeln!(
            formatter,
            "seed {seed}: {broken} rules broken; {}; the stand-ins ran {:?} late at worst",
            self.conditions, self.worst_lag
        )
    }
}
