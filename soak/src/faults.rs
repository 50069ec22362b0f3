//! What goes wrong when: two or three faults at a time, drawn from the seed.

use crate::discovery::Discovery;
use crate::endpoint::{behave, replace, RunningEndpoint};
use crate::fleet::Behaviour;
use crate::gateway::{Gateway, Launcher};
use crate::gateway_config::Addresses;
use crate::shutdown_clients;
use crate::shutdown_plan::{ShutdownPlan, STALL};
use crate::soak::SoakError;
use crate::world::{ServiceMode, World};
use rand::seq::{IndexedRandom, SliceRandom};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Pause between the starts of two faults.
const PAUSE_MS: std::ops::Range<u64> = 150..900;
/// How long a fault lasts that has no length of its own.
const LENGTH_MS: std::ops::Range<u64> = 300..3000;
/// Largest share of gateways or endpoints that one fault meets.
const MAX_SHARE: f64 = 0.35;
/// Endpoints that stay at least.
const MIN_READY: usize = 6;

/// What can go wrong.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Restarts,
    Kills,
    Stalls,
    Reloads,
    InvalidReloads,
    DiscoveryFails,
    CounterFails,
    EndpointsMisbehave,
    EndpointsDrain,
    EndpointsVanish,
}

/// All of them; restarts come more often.
const ALL: [Fault; 12] = [
    Fault::Restarts,
    Fault::Restarts,
    Fault::Restarts,
    Fault::Kills,
    Fault::Stalls,
    Fault::Reloads,
    Fault::InvalidReloads,
    Fault::DiscoveryFails,
    Fault::CounterFails,
    Fault::EndpointsMisbehave,
    Fault::EndpointsDrain,
    Fault::EndpointsVanish,
];

/// The processes of a run, and what starts them.
pub struct Processes {
    /// How to start gateways.
    pub launcher: Launcher,
    /// The gateways; one that is being restarted is not there.
    pub gateways: RefCell<HashMap<usize, Gateway>>,
    /// The endpoints that are not being replaced.
    pub endpoints: RefCell<HashMap<usize, RunningEndpoint>>,
    /// The present discovery.
    pub discovery: RefCell<Option<Discovery>>,
}

impl Processes {
    /// Starts a gateway again. Discovery may have moved since it was notified, also while it starts.
    async fn start_again(
        &self,
        world: &Rc<World>,
        index: usize,
        mut addresses: Addresses,
        call_faults: Option<String>,
    ) -> Result<(), SoakError> {
        addresses.discovery = self.discovery_address().unwrap_or(addresses.discovery);
        let mut gateway = Gateway::start(world, &self.launcher, index, addresses, call_faults)?;
        gateway.wait_until_ready(world).await;
        if self
            .discovery_address()
            .is_some_and(|address| address != addresses.discovery)
        {
            addresses.discovery = self.discovery_address().unwrap_or(addresses.discovery);
            gateway.reload(world, &self.launcher, addresses)?;
        }
        self.gateways.borrow_mut().insert(index, gateway);
        Ok(())
    }

    fn discovery_address(&self) -> Option<SocketAddr> {
        self.discovery
            .borrow()
            .as_ref()
            .map(|discovery| discovery.address)
    }
}

/// Makes faults until the load ends, and waits for the last of them.
pub async fn run(world: Rc<World>, processes: Rc<Processes>) {
    let mut rng = crate::stream(world.seed, "faults", 0);
    let mut running = JoinSet::new();
    while !world.has_ended() {
        sleep(Duration::from_millis(rng.random_range(PAUSE_MS))).await;
        let Some(fault) = ALL.choose(&mut rng).copied() else {
            return;
        };
        world.judge.borrow_mut().count(&format!("fault {fault:?}"));
        let part = Part {
            world: world.clone(),
            processes: processes.clone(),
            rng: crate::stream(rng.random(), "", 0),
        };
        running.spawn_local(part.make(fault));
        while let Some(ended) = running.try_join_next() {
            report_failure(&world, ended);
        }
    }
    while let Some(ended) = running.join_next().await {
        report_failure(&world, ended);
    }
}

fn report_failure(world: &World, ended: Result<Result<(), SoakError>, tokio::task::JoinError>) {
    if let Ok(Err(error)) = ended {
        world
            .judge
            .borrow_mut()
            .report(crate::judge::Rule::Process, error.to_string());
    }
}

struct Part {
    world: Rc<World>,
    processes: Rc<Processes>,
    rng: ChaCha8Rng,
}

impl Part {
    async fn make(mut self, fault: Fault) -> Result<(), SoakError> {
        let length = Duration::from_millis(self.rng.random_range(LENGTH_MS));
        match fault {
            Fault::Restarts => self.restart(false).await,
            Fault::Kills => self.restart(true).await,
            Fault::Stalls => self.stall().await,
            Fault::Reloads => self.reload().await,
            Fault::InvalidReloads => self.reload_invalid(),
            Fault::DiscoveryFails => {
                let mode = self.draw_mode(&[
                    ServiceMode::Silent,
                    ServiceMode::Closes,
                    ServiceMode::Refuses,
                ]);
                self.world.set_discovery_mode(mode);
                sleep(length).await;
                self.world.set_discovery_mode(ServiceMode::Works);
                Ok(())
            }
            Fault::CounterFails => {
                let modes = [
                    ServiceMode::Silent,
                    ServiceMode::Closes,
                    ServiceMode::Refuses,
                    ServiceMode::Garbles,
                ];
                let mode = self.draw_mode(&modes);
                self.world.counter_mode.set(mode);
                sleep(length).await;
                self.world.counter_mode.set(ServiceMode::Works);
                Ok(())
            }
            Fault::EndpointsMisbehave => {
                let endpoints = self.draw_endpoints();
                let behaviour = self.draw_behaviour();
                behave(&self.world, &endpoints, behaviour, length).await;
                Ok(())
            }
            Fault::EndpointsDrain => self.replace_endpoints(true).await,
            Fault::EndpointsVanish => self.replace_endpoints(false).await,
        }
    }

    fn draw_mode(&mut self, modes: &[ServiceMode]) -> ServiceMode {
        modes
            .choose(&mut self.rng)
            .copied()
            .unwrap_or(ServiceMode::Silent)
    }

    fn draw_behaviour(&mut self) -> Behaviour {
        let behaviours = [
            Behaviour::Hangs,
            Behaviour::Resets,
            Behaviour::TurnsAway,
            Behaviour::Garbles,
            Behaviour::OmitsLength,
            Behaviour::Repeats,
            Behaviour::Closes,
        ];
        behaviours
            .choose(&mut self.rng)
            .copied()
            .unwrap_or(Behaviour::Hangs)
    }

    fn draw_part<T>(&mut self, mut all: Vec<T>) -> Vec<T> {
        all.shuffle(&mut self.rng);
        let most = (all.len() as f64 * MAX_SHARE).ceil() as usize;
        all.truncate(self.rng.random_range(1..=most.max(1)));
        all
    }

    fn draw_endpoints(&mut self) -> Vec<usize> {
        let ready = self.world.fleet.borrow().ready();
        self.draw_part(ready)
    }

    fn draw_gateways(&mut self) -> Vec<usize> {
        // In an order that does not depend on the map.
        let mut present: Vec<_> = self.processes.gateways.borrow().keys().copied().collect();
        present.sort_unstable();
        self.draw_part(present)
    }

    /// Which system calls of a new process fail; none for half of them.
    fn draw_call_faults(&mut self) -> Option<String> {
        draw_call_faults(&mut self.rng)
    }

    async fn restart(mut self, kills: bool) -> Result<(), SoakError> {
        let mut restarts = JoinSet::new();
        for index in self.draw_gateways() {
            let gateway = self.processes.gateways.borrow_mut().remove(&index);
            let Some(gateway) = gateway else { continue };
            let call_faults = self.draw_call_faults();
            let (world, processes) = (self.world.clone(), self.processes.clone());
            let mut rng = crate::stream(self.rng.random(), "shutdown", 0);
            restarts.spawn_local(async move {
                let addresses = if kills {
                    gateway.kill(&world).await
                } else {
                    shut_down(&world, gateway, &mut rng).await
                };
                processes
                    .start_again(&world, index, addresses, call_faults)
                    .await
            });
        }
        while let Some(ended) = restarts.join_next().await {
            report_failure(&self.world, ended);
        }
        Ok(())
    }

    async fn stall(mut self) -> Result<(), SoakError> {
        let mut stalls = JoinSet::new();
        for index in self.draw_gateways() {
            if let Some(gateway) = self.processes.gateways.borrow().get(&index) {
                stalls.spawn_local(gateway.stall(STALL));
            }
        }
        while stalls.join_next().await.is_some() {}
        Ok(())
    }

    /// Moves discovery to a new address, and tells all gateways.
    async fn reload(self) -> Result<(), SoakError> {
        let new = Discovery::start(&self.world).await?;
        let address = new.address;
        let former = self.processes.discovery.borrow_mut().replace(new);
        let mut indices: Vec<_> = self.processes.gateways.borrow().keys().copied().collect();
        indices.sort_unstable();
        for index in indices {
            let mut gateways = self.processes.gateways.borrow_mut();
            let Some(gateway) = gateways.get_mut(&index) else {
                continue;
            };
            let mut addresses = gateway.addresses();
            addresses.discovery = address;
            gateway.reload(&self.world, &self.processes.launcher, addresses)?;
        }
        if let Some(former) = former {
            former.retire().await;
        }
        Ok(())
    }

    fn reload_invalid(mut self) -> Result<(), SoakError> {
        for index in self.draw_gateways() {
            if let Some(gateway) = self.processes.gateways.borrow().get(&index) {
                gateway.reload_invalid("{\"name\": \"n0\", ")?;
            }
        }
        Ok(())
    }

    async fn replace_endpoints(mut self, drains: bool) -> Result<(), SoakError> {
        let chosen = self.draw_endpoints();
        let mut replacements = JoinSet::new();
        for number in chosen {
            if self.processes.endpoints.borrow().len() <= MIN_READY {
                break;
            }
            let running = self.processes.endpoints.borrow_mut().remove(&number);
            let Some(running) = running else { continue };
            let (world, processes) = (self.world.clone(), self.processes.clone());
            replacements.spawn_local(async move {
                if let Some((number, running)) = replace(&world, number, running, drains).await {
                    processes.endpoints.borrow_mut().insert(number, running);
                }
            });
        }
        while replacements.join_next().await.is_some() {}
        Ok(())
    }
}

/// Ends a gateway under clients that send until it is killed.
pub async fn shut_down(world: &Rc<World>, gateway: Gateway, rng: &mut ChaCha8Rng) -> Addresses {
    let mut clients = shutdown_clients::start(world, gateway.index(), rng);
    let conditions = world.conditions;
    let plan = ShutdownPlan::draw(rng, conditions.kill_after(), conditions.repeats_signals);
    sleep(shutdown_clients::LEAD).await;
    let addresses = gateway.terminate(world, plan).await;
    while clients.join_next().await.is_some() {}
    addresses
}

/// Which system calls of a process fail, in the form of the library that does it; none for half of them.
pub fn draw_call_faults(rng: &mut ChaCha8Rng) -> Option<String> {
    let kinds = [
        "recv_eintr=20",
        "send_eintr=20",
        "recv_nomem=20",
        "send_nobufs=20",
        "recv_short=200",
        "send_short=200",
        "epoll_eintr=20",
        "accept_abort=300",
        "accept_full=100",
        "connect_fail=30",
        "socket_fail=30",
        "unix_eintr=100",
        "wall_clock_s=3600",
        "wall_clock_s=-7",
    ];
    if rng.random() {
        return None;
    }
    let chosen: Vec<_> = kinds.choose_multiple(rng, 3).copied().collect();
    Some(format!(
        "seed={},{}",
        rng.random_range(1..1000),
        chosen.join(",")
    ))
}
