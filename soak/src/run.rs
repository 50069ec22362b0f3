//! One run: starts stand-ins and gateways, applies load and faults, and reports the violations.

use crate::arguments::{RunSize, SoakArguments};
use crate::clients::{run_idle, run_misbehaving, Client, ClientContext, TransactionIds};
use crate::endpoint::{EndpointContext, RunningEndpoint};
use crate::error::SoakError;
use crate::faults::{self, draw_call_faults, shut_down, FaultContext, Processes};
use crate::fleet::{Fleet, FIRST_VERSION};
use crate::gateway::{Addresses, CommonConfig, Gateway, Launcher};
use crate::gateway_directory::GatewayDirectory;
use crate::loopback::any_port;
use crate::notices::NoticeTimes;
use crate::report::SoakReport;
use crate::rules::{ObservationLog, Rule, RuleChecker, LIMITS};
use crate::scenario::Scenario;
use crate::scheduling_delay::SchedulingDelay;
use crate::settings::RunSettings;
use stand_ins::counter::Counter;
use stand_ins::discovery::{Discovery, FirstUpdate};
use stand_ins::endpoint_list::EndpointList;
use stand_ins::list_publisher::ListPublisher;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::{JoinSet, LocalSet};
use tokio::time::{sleep_until, timeout, Instant};

/// Number of misbehaving clients per gateway.
const MISBEHAVING_CLIENTS_PER_GATEWAY: usize = 1;
/// Timeout for the requests that are in progress when the load ends.
const LOAD_END_TIMEOUT: Duration = Duration::from_secs(4);
/// Duration of a call to the counter.
const COUNTER_CALL_TIME: Duration = Duration::from_millis(1);

impl SoakArguments {
    /// Carries out one run with the seed of the arguments.
    ///
    /// # Errors
    ///
    /// Fails if the operating system refuses a socket, a file or a process.
    pub fn run(&self) -> Result<SoakReport, SoakError> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        LocalSet::new().block_on(&runtime, self.run_scenario())
    }

    async fn run_scenario(&self) -> Result<SoakReport, SoakError> {
        let context = self.start().await?;
        let mut load = start_load(&context.clients, &self.size);
        if self.without_faults {
            sleep_until(context.settings.load_ends_at).await;
        } else {
            faults::run(context.clone()).await;
        }
        let _ = timeout(LOAD_END_TIMEOUT, async {
            while load.join_next().await.is_some() {}
        })
        .await;
        finish(&context).await;
        Ok(SoakReport {
            violations: context.observations.violations(),
            counts: context.observations.counts(),
            seed: self.seed,
            scenario: context.settings.scenario,
            worst_delay: context.clients.delay.worst_ever(),
        })
    }

    fn settings(&self) -> RunSettings {
        let scenario = if self.without_faults {
            Scenario::without_faults()
        } else {
            Scenario::draw(self.seed)
        };
        RunSettings {
            scenario,
            seed: self.seed,
            is_polled: self.polled,
            load_ends_at: Instant::now() + Duration::from_secs(self.size.seconds),
        }
    }

    /// Starts stand-ins and gateways, and waits until the gateways are ready.
    async fn start(&self) -> Result<Rc<FaultContext>, SoakError> {
        let settings = self.settings();
        let observations = Rc::new(ObservationLog::start());
        let checker = RuleChecker::new(LIMITS, observations.clone());
        let clients = ClientContext {
            settings,
            checker: Rc::new(RefCell::new(checker)),
            observations: observations.clone(),
            directory: Rc::<GatewayDirectory>::default(),
            delay: SchedulingDelay::start(),
            transactions: Rc::<TransactionIds>::default(),
        };
        let publisher = Rc::new(ListPublisher::new(EndpointList::new(FIRST_VERSION)));
        let endpoints = Rc::new(EndpointContext {
            settings,
            checker: clients.checker.clone(),
            fleet: Fleet::new(publisher.clone()),
            notices: Rc::new(NoticeTimes::new(settings.is_polled)),
            delay: clients.delay.clone(),
        });
        let counter = Rc::new(Counter::with_call_time(COUNTER_CALL_TIME));
        let launcher = Rc::new(self.launcher(&clients, &endpoints, publisher.clone()));
        let processes = self.start_processes(launcher, &endpoints, &counter).await?;
        Ok(Rc::new(FaultContext {
            settings,
            observations,
            clients,
            endpoints,
            publisher,
            counter,
            processes,
        }))
    }

    fn launcher(
        &self,
        clients: &ClientContext,
        endpoints: &EndpointContext,
        publisher: Rc<ListPublisher>,
    ) -> Launcher {
        Launcher {
            program: self.program.clone(),
            common_config: CommonConfig {
                gateways: self.size.gateways,
                is_polled: self.polled,
                scenario: clients.settings.scenario,
            },
            faults_library: self.faults_library.clone(),
            log_folder: self.logs.clone(),
            settings: clients.settings,
            observations: clients.observations.clone(),
            directory: clients.directory.clone(),
            publisher,
            notices: endpoints.notices.clone(),
        }
    }

    async fn start_processes(
        &self,
        launcher: Rc<Launcher>,
        endpoints: &Rc<EndpointContext>,
        counter: &Rc<Counter>,
    ) -> Result<Processes, SoakError> {
        let running_endpoints = start_endpoints(endpoints, self.size.endpoints).await?;
        let listener = TcpListener::bind(any_port()).await?;
        let publisher = launcher.publisher.clone();
        let discovery = Discovery::start(listener, publisher, FirstUpdate::Changes)?;
        let counter = counter
            .clone()
            .start(TcpListener::bind(any_port()).await?)?;
        let services = ServiceAddresses {
            discovery: discovery.address(),
            counter: counter.address(),
        };
        let gateways = start_gateways(&launcher, services).await?;
        Ok(Processes {
            launcher,
            gateways: RefCell::new(gateways),
            endpoints: RefCell::new(running_endpoints),
            discovery: RefCell::new(Some(discovery)),
        })
    }
}

/// The addresses of the services that gateways call.
#[derive(Clone, Copy)]
struct ServiceAddresses {
    discovery: SocketAddr,
    counter: SocketAddr,
}

async fn start_endpoints(
    context: &Rc<EndpointContext>,
    count: usize,
) -> Result<HashMap<usize, RunningEndpoint>, SoakError> {
    let mut endpoints = HashMap::new();
    for _ in 0..count {
        let (number, running) = RunningEndpoint::start(context, false).await?;
        endpoints.insert(number, running);
    }
    context.fleet.publish();
    Ok(endpoints)
}

async fn start_gateways(
    launcher: &Rc<Launcher>,
    services: ServiceAddresses,
) -> Result<HashMap<usize, Gateway>, SoakError> {
    let mut rng = crate::seeded_rng(launcher.settings.seed, "call faults", 0);
    let mut gateways = HashMap::new();
    for index in 0..launcher.common_config.gateways {
        let addresses = Addresses {
            listen: free_address()?,
            discovery: services.discovery,
            counter: services.counter,
        };
        launcher.directory.add(addresses.listen);
        let gateway = Gateway::start(launcher, index, addresses, draw_call_faults(&mut rng))?;
        gateways.insert(index, gateway);
    }
    for gateway in gateways.values_mut() {
        gateway.wait_until_ready().await;
    }
    Ok(gateways)
}

/// Returns a loopback address with a port that is currently unused.
fn free_address() -> std::io::Result<SocketAddr> {
    std::net::TcpListener::bind(any_port())?.local_addr()
}

fn start_load(context: &ClientContext, size: &RunSize) -> JoinSet<()> {
    let mut load = JoinSet::new();
    for number in 0..size.gateways * size.clients {
        let client = Client::new(
            context.clone(),
            number as u64,
            size.early_disconnect_percent,
        );
        load.spawn_local(client.run());
    }
    for number in 0..size.gateways * MISBEHAVING_CLIENTS_PER_GATEWAY {
        load.spawn_local(run_misbehaving(context.clone(), number as u64));
    }
    let idle_clients = context.settings.scenario.idle_clients();
    for number in 0..size.gateways * idle_clients {
        let gateway = number / idle_clients;
        load.spawn_local(run_idle(context.clone(), gateway, number as u64));
    }
    load
}

/// Checks each gateway's process and its count of broken rules, and shuts all gateways down.
async fn finish(context: &Rc<FaultContext>) {
    let gateways = context.processes.gateways.take();
    let mut ends = JoinSet::new();
    for (index, gateway) in gateways {
        ends.spawn_local(finish_gateway(context.clone(), index, gateway));
    }
    while ends.join_next().await.is_some() {}
}

async fn finish_gateway(context: Rc<FaultContext>, index: usize, mut gateway: Gateway) {
    let mut rng = crate::seeded_rng(context.settings.seed, "last shutdown", index as u64);
    gateway.check_process();
    let observations = &context.observations;
    match gateway.counted_violations().await {
        Some(0) => {}
        Some(count) => {
            let detail = format!("gateway {index} counted {count} broken rules");
            observations.report(Rule::OwnCheck, detail);
        }
        None => {
            let detail = format!("gateway {index} did not respond to the request for its metrics");
            observations.report(Rule::Process, detail);
        }
    }
    shut_down(&context.clients, gateway, &mut rng).await;
}
