//! The processes under test: starts, signals, logs, ends.

use crate::gateway_config::{gateway_config, Addresses, Site};
use crate::http::Connection;
use crate::judge::Rule;
use crate::loopback::any_port;
use crate::process_state::thread_states;
use crate::shutdown_plan::{suspend, ShutdownPlan};
use crate::soak::SoakError;
use crate::world::World;
use fleet_emulator::peak_memory_kb;
use nix::sched::{sched_getaffinity, sched_setaffinity, CpuSet};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::Value;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, timeout, Instant};

/// A restarted gateway is ready within this time.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);
const READY_REQUEST: &[u8] = b"GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
const METRICS_REQUEST: &[u8] =
    b"GET /health/metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
/// An exchange of a check with a gateway takes no longer.
const CHECK_TIMEOUT: Duration = Duration::from_secs(2);
/// Half of the memory that a gateway may have.
const MAX_MEMORY_KB: f64 = 96.0 * 1024.0;
/// New clients keep coming for this long after SIGTERM.
pub const FRONT_DELAY: Duration = Duration::from_millis(300);

/// What clients know of a gateway.
pub struct GatewayState {
    /// Where it listens.
    pub address: SocketAddr,
    /// True once the front sends it clients.
    pub is_admitted: bool,
    /// Counts its processes.
    pub generation: u32,
    /// The last generation that was killed outright.
    pub killed_generation: Option<u32>,
    /// When SIGTERM was sent to this generation, if it was.
    pub terminated_at: Option<Instant>,
    /// When SIGHUP was sent, each time.
    pub reloaded_at: Vec<Instant>,
}

impl GatewayState {
    /// No process has been started yet.
    pub fn new(address: SocketAddr) -> Self {
        GatewayState {
            address,
            is_admitted: false,
            generation: 0,
            killed_generation: None,
            terminated_at: None,
            reloaded_at: Vec::new(),
        }
    }
}

/// How to start gateways.
pub struct Launcher {
    /// The program.
    pub program: PathBuf,
    /// What all configurations have in common.
    pub site: Site,
    /// The library that makes system calls fail, if any.
    pub faults_library: Option<PathBuf>,
    /// Where logs go, if anywhere.
    pub log_folder: Option<PathBuf>,
}

/// One gateway's process.
pub struct Gateway {
    index: usize,
    child: Child,
    addresses: Addresses,
    config_path: PathBuf,
    call_faults: Option<String>,
}

/// A port that nobody uses at present.
pub fn free_address() -> std::io::Result<SocketAddr> {
    std::net::TcpListener::bind(any_port())?.local_addr()
}

impl Gateway {
    /// Starts a gateway. `faults` says which of its system calls fail.
    pub fn start(
        world: &Rc<World>,
        launcher: &Launcher,
        index: usize,
        addresses: Addresses,
        call_faults: Option<String>,
    ) -> Result<Self, SoakError> {
        let config_path =
            std::env::temp_dir().join(format!("gateway-soak-{}-{index}.json", std::process::id()));
        let mut gateway_world = world.gateways.borrow_mut();
        let state = &mut gateway_world[index];
        state.generation += 1;
        state.terminated_at = None;
        let generation = state.generation;
        drop(gateway_world);
        let seed = world.seed ^ (index as u64) << 32 ^ u64::from(generation);
        // A gateway starts with the list that it last had.
        let known = serde_json::from_str(&world.published_list.borrow()).unwrap_or_default();
        let config = gateway_config(index, launcher.site, &addresses, &known, seed);
        std::fs::write(&config_path, config.to_string())?;
        let mut command = Command::new(&launcher.program);
        command
            .env("RELAY_CONFIG", &config_path)
            .env("RELAY_LOG", log_level(launcher));
        if let (Some(library), Some(call_faults)) = (&launcher.faults_library, &call_faults) {
            command
                .env("LD_PRELOAD", library)
                .env("GATEWAY_FAULTS", call_faults);
        }
        command
            .stdin(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true);
        let mut child = command.spawn()?;
        if let (Some(pid), Some(sharing)) = (child.id(), world.conditions.gateways_per_processor) {
            bind_to_processor(Pid::from_raw(pid as i32), index / sharing)?;
        }
        if let Some(log) = child.stderr.take() {
            let file = open_log(launcher, index, generation);
            spawn_local(read_log(world.clone(), index, BufReader::new(log), file));
        }
        Ok(Gateway {
            index,
            child,
            addresses,
            config_path,
            call_faults,
        })
    }

    /// Its number.
    pub fn index(&self) -> usize {
        self.index
    }

    /// The addresses that it last got.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Waits until the gateway is ready, and lets the front send it clients.
    pub async fn wait_until_ready(&mut self, world: &Rc<World>) -> bool {
        let started_at = Instant::now();
        while started_at.elapsed() < READY_TIMEOUT {
            if let Ok(Some(status)) = self.child.try_wait() {
                let detail = format!(
                    "gateway {} ended at its start: {status}, {:?}",
                    self.index, self.call_faults
                );
                world.judge.borrow_mut().report(Rule::Process, detail);
                return false;
            }
            if matches!(self.check(READY_REQUEST).await, Some((200, _))) {
                world.gateways.borrow_mut()[self.index].is_admitted = true;
                return true;
            }
            sleep(READY_POLL_INTERVAL).await;
        }
        let detail = format!(
            "gateway {} is not ready in time, {:?}",
            self.index, self.call_faults
        );
        world.judge.borrow_mut().report(Rule::Process, detail);
        false
    }

    async fn check(&self, request: &[u8]) -> Option<(u16, String)> {
        let exchange = async {
            let stream = TcpStream::connect(self.addresses.listen).await.ok()?;
            let mut connection = Connection::new(stream);
            connection.send(request).await.ok()?;
            let answer = connection.receive().await.ok()??;
            Some((
                answer.status(),
                String::from_utf8_lossy(&answer.body).into_owned(),
            ))
        };
        timeout(CHECK_TIMEOUT, exchange).await.ok().flatten()
    }

    /// The number of broken rules that the gateway has counted; none if it does not say.
    pub async fn own_violations(&self) -> Option<u64> {
        let (_, text) = self.check(METRICS_REQUEST).await?;
        let counts = text
            .lines()
            .filter(|line| line.starts_with("gateway_rule_violations_total"));
        Some(
            counts
                .filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok())
                .sum(),
        )
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = self.child.id() {
            // It fails for a process that has just ended.
            let _ = kill(Pid::from_raw(pid as i32), signal);
        }
    }

    /// Holds the process up for a moment. The process may end meanwhile.
    pub fn stall(&self, how_long: Duration) -> impl std::future::Future<Output = ()> {
        let pid = self.child.id().map(|pid| Pid::from_raw(pid as i32));
        async move {
            if let Some(pid) = pid {
                suspend(pid, how_long).await;
            }
        }
    }

    /// Replaces the configuration and sends SIGHUP.
    pub fn reload(
        &mut self,
        world: &World,
        launcher: &Launcher,
        addresses: Addresses,
    ) -> std::io::Result<()> {
        let config = gateway_config(
            self.index,
            launcher.site,
            &addresses,
            &Value::Null,
            world.seed,
        );
        self.write_config(&config.to_string())?;
        self.addresses = addresses;
        world.gateways.borrow_mut()[self.index]
            .reloaded_at
            .push(Instant::now());
        self.signal(Signal::SIGHUP);
        Ok(())
    }

    /// Replaces the configuration by one that can't be read, and sends SIGHUP.
    pub fn reload_invalid(&self, text: &str) -> std::io::Result<()> {
        self.write_config(text)?;
        self.signal(Signal::SIGHUP);
        Ok(())
    }

    /// The file is replaced in one step.
    fn write_config(&self, text: &str) -> std::io::Result<()> {
        let new = self.config_path.with_extension("new");
        std::fs::File::create(&new)?.write_all(text.as_bytes())?;
        std::fs::rename(new, &self.config_path)
    }

    /// Ends the process by SIGTERM; the front notices a moment later, and SIGKILL comes as early as it may.
    pub async fn terminate(mut self, world: &Rc<World>, plan: ShutdownPlan) -> Addresses {
        let terminated_at = Instant::now();
        world.gateways.borrow_mut()[self.index].terminated_at = Some(terminated_at);
        self.signal(Signal::SIGTERM);
        let disturbing = self
            .child
            .id()
            .map(|pid| spawn_local(plan.carry_out(Pid::from_raw(pid as i32), terminated_at)));
        let front = spawn_local(withdraw_from_front(world.clone(), self.index));
        let kill_at = terminated_at + world.conditions.kill_after();
        let ended = tokio::time::timeout_at(kill_at, self.child.wait()).await;
        // No signal is sent to a process that has ended: its id may be another one's soon.
        disturbing.iter().for_each(JoinHandle::abort);
        match ended {
            Ok(Ok(status)) if status.success() => {}
            Ok(status) => {
                let detail = format!(
                    "gateway {} ended with {status:?}, {:?}",
                    self.index, self.call_faults
                );
                world.judge.borrow_mut().report(Rule::Process, detail);
            }
            Err(_) => {
                let threads = self.child.id().map(thread_states).unwrap_or_default();
                let detail = format!(
                    "gateway {} is still there when it is killed, {plan}, {:?}, threads: {threads}",
                    self.index, self.call_faults
                );
                world.judge.borrow_mut().report(Rule::Process, detail);
                self.signal(Signal::SIGKILL);
                let _ = self.child.wait().await;
            }
        }
        let _ = front.await;
        world.judge.borrow_mut().count("planned restarts");
        self.addresses
    }

    /// Kills the process; the front notices a moment later.
    pub async fn kill(mut self, world: &Rc<World>) -> Addresses {
        {
            let mut gateways = world.gateways.borrow_mut();
            let state = &mut gateways[self.index];
            state.killed_generation = Some(state.generation);
        }
        self.signal(Signal::SIGKILL);
        let _ = self.child.wait().await;
        sleep(FRONT_DELAY).await;
        world.gateways.borrow_mut()[self.index].is_admitted = false;
        world.judge.borrow_mut().count("kills");
        self.addresses
    }

    /// A process that has ended without being told to has crashed; one that has taken too much memory might have been.
    pub fn check_process(&mut self, world: &World) {
        let peak_kb = self
            .child
            .id()
            .map_or(0.0, |pid| peak_memory_kb(&pid.to_string()));
        if peak_kb > MAX_MEMORY_KB {
            let detail = format!("gateway {} has taken {peak_kb} kB", self.index);
            world.judge.borrow_mut().report(Rule::Process, detail);
        }
        world
            .judge
            .borrow_mut()
            .note_largest("kB of memory at most", peak_kb as u64);
        if let Ok(Some(status)) = self.child.try_wait() {
            let detail = format!(
                "gateway {} has crashed: {status}, {:?}",
                self.index, self.call_faults
            );
            world.judge.borrow_mut().report(Rule::Process, detail);
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        // A file left behind in the temporary folder does no harm.
        let _ = std::fs::remove_file(&self.config_path);
    }
}

/// The front sends no more clients after a moment.
async fn withdraw_from_front(world: Rc<World>, index: usize) {
    sleep(FRONT_DELAY).await;
    world.gateways.borrow_mut()[index].is_admitted = false;
}

/// Lets a process run on one of this machine's processors alone, the one of this number, counted round.
fn bind_to_processor(pid: Pid, number: usize) -> std::io::Result<()> {
    let available = sched_getaffinity(Pid::from_raw(0))?;
    let allowed: Vec<_> = (0..CpuSet::count())
        .filter(|cpu| available.is_set(*cpu) == Ok(true))
        .collect();
    let mut only = CpuSet::new();
    if let Some(cpu) = allowed.get(number % allowed.len().max(1)) {
        only.set(*cpu)?;
        sched_setaffinity(pid, &only)?;
    }
    Ok(())
}

fn log_level(launcher: &Launcher) -> &'static str {
    if launcher.log_folder.is_some() {
        "debug"
    } else {
        "info"
    }
}

fn open_log(launcher: &Launcher, index: usize, generation: u32) -> Option<std::fs::File> {
    let folder: &Path = launcher.log_folder.as_deref()?;
    std::fs::create_dir_all(folder).ok()?;
    std::fs::File::create(folder.join(format!("gateway-{index}-{generation}.log"))).ok()
}

/// Reads a log; what tells of a broken rule or a panic is reported.
async fn read_log(
    world: Rc<World>,
    index: usize,
    log: BufReader<tokio::process::ChildStderr>,
    mut file: Option<std::fs::File>,
) {
    let mut lines = log.lines();
    while let Ok(Some(line)) = lines.next_line().await {
        if line.contains("rule broken") || line.contains("panic") {
            world
                .judge
                .borrow_mut()
                .report(Rule::OwnCheck, format!("gateway {index}: {line}"));
        }
        if let Some(file) = &mut file {
            let _ = writeln!(file, "{line}");
        }
    }
}
