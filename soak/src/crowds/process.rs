//! The gateway process under test.

use super::scenario::CrowdScenario;
use super::services::Services;
use crate::gateway::{gateway_config, CommonConfig};
use crate::scenario::Scenario;
use fleet_emulator::peak_memory_kb;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use stand_ins::connection::Connection;
use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::time::{sleep, timeout, timeout_at, Instant};

/// A gateway has to be ready within this time after its start.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);
const READY_REQUEST: &[u8] = b"GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
/// Timeout of one request for the readiness.
const READY_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// How a process ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProcessEnd {
    /// With exit code 0 after SIGTERM.
    InTime,
    /// It had not ended when SIGKILL was due.
    Killed,
    /// In another way, which the text describes.
    Failed(String),
}

/// One process of the gateway.
pub struct GatewayProcess {
    child: Child,
    config_path: PathBuf,
}

impl GatewayProcess {
    /// Starts the program with the limits of the scenario. `number` distinguishes the processes of a run.
    pub fn start(
        program: &Path,
        logs: Option<&Path>,
        scenario: &CrowdScenario,
        services: &Services,
        number: u64,
    ) -> io::Result<Self> {
        let common = CommonConfig {
            gateways: 1,
            is_polled: false,
            scenario: Scenario::without_faults(),
        };
        let known = services.known_list();
        let mut config = gateway_config(0, common, &services.addresses, &known, number);
        config["limits"]["memory_mb"] = scenario.memory_mb.into();
        config["limits"]["sockets"] = scenario.descriptors.into();
        let name = format!("gateway-crowds-{}-{number}", std::process::id());
        let config_path = std::env::temp_dir().join(format!("{name}.json"));
        std::fs::write(&config_path, config.to_string())?;
        let log = match logs {
            Some(folder) => {
                std::fs::create_dir_all(folder)?;
                Stdio::from(File::create(folder.join(format!("{name}.log")))?)
            }
            None => Stdio::null(),
        };
        let child = Command::new("sh")
            .arg("-c")
            .arg(format!("ulimit -n {}; exec \"$0\"", scenario.descriptors))
            .arg(program)
            .env("RELAY_CONFIG", &config_path)
            .env("RELAY_LOG", if logs.is_some() { "debug" } else { "info" })
            .stdin(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        Ok(GatewayProcess { child, config_path })
    }

    /// Waits until the gateway is ready. Returns false if it isn't in time.
    pub async fn wait_until_ready(&self, services: &Services) -> bool {
        let started_at = Instant::now();
        while started_at.elapsed() < READY_TIMEOUT {
            let ready = timeout(READY_REQUEST_TIMEOUT, is_ready(services)).await;
            if matches!(ready, Ok(Ok(true))) {
                return true;
            }
            sleep(READY_POLL_INTERVAL).await;
        }
        false
    }

    /// Reads the memory of the process.
    pub fn memory_reader(&self) -> MemoryReader {
        MemoryReader {
            pid: self.child.id(),
        }
    }

    /// Describes the end of a process that has ended by itself; `None` while it runs.
    pub fn unexpected_end(&mut self) -> Option<String> {
        let status = self.child.try_wait().ok()??;
        Some(status.to_string())
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = self.child.id() {
            // A signal to a process that has just ended fails.
            let _ = kill(Pid::from_raw(pid as i32), signal);
        }
    }

    /// Kills the process.
    pub async fn kill(mut self) -> io::Result<()> {
        self.child.kill().await
    }

    /// Ends the process by SIGTERM, and by SIGKILL at `kill_at`.
    pub async fn terminate(mut self, kill_at: Instant) -> ProcessEnd {
        self.signal(Signal::SIGTERM);
        match timeout_at(kill_at, self.child.wait()).await {
            Ok(Ok(status)) if status.success() => ProcessEnd::InTime,
            Ok(Ok(status)) => ProcessEnd::Failed(status.to_string()),
            Ok(Err(error)) => ProcessEnd::Failed(error.to_string()),
            Err(_) => ProcessEnd::Killed,
        }
    }
}

/// Reads the memory of a process as the system reports it.
pub struct MemoryReader {
    pid: Option<u32>,
}

impl MemoryReader {
    /// Peak of the resident memory so far, in bytes: of the heap, the program file and all else. 0 once the process has
    /// ended.
    pub fn peak_bytes(&self) -> u64 {
        self.pid
            .map_or(0, |pid| peak_memory_kb(&pid.to_string()) as u64 * 1024)
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        // A file that remains in the temporary folder does no harm.
        let _ = std::fs::remove_file(&self.config_path);
    }
}

async fn is_ready(services: &Services) -> io::Result<bool> {
    let stream = TcpStream::connect(services.addresses.listen).await?;
    let mut connection = Connection::new(stream);
    connection.send(READY_REQUEST).await?;
    let response = connection.receive().await?;
    Ok(response.is_some_and(|response| response.status() == 200))
}
