//! Process of one gateway: start, readiness, end, and the resource usage that the system reports.

use super::clients::ClientConnection;
use super::error::RealRunError;
use crate::process_memory::peak_memory_kb;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;
use tokio::io::{AsyncBufRead, AsyncBufReadExt, BufReader, Lines};
use tokio::process::{Child, Command};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant};

/// Time within which a gateway must listen, and then become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);
const READY_REQUEST: &str = "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n";
const STATUS_OK: u16 = 200;
/// Text that precedes the listening address in the gateway's log.
const LISTENING_PREFIX: &str = "listening on ";
/// Clock ticks per second of the processor times in `/proc/PID/stat`.
const TICKS_PER_S: f64 = 100.0;
/// Index of the user time among the fields after the name in `/proc/PID/stat`.
const USER_TICKS_FIELD: usize = 11;
/// Index of the system time among the fields after the name in `/proc/PID/stat`.
const SYSTEM_TICKS_FIELD: usize = 12;

/// A running gateway. Dropping the value kills the process and removes its configuration file.
pub(super) struct GatewayProcess {
    child: Child,
    address: SocketAddr,
    _config: ConfigFile,
}

/// Resource usage of a process, as the system reports it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Usage {
    pub(super) processor_s: f64,
    pub(super) peak_memory_kb: f64,
    pub(super) descriptors: f64,
}

impl GatewayProcess {
    /// Starts a gateway and waits until the gateway listens.
    pub(super) async fn start(
        program: &Path,
        index: u32,
        config: &Value,
    ) -> Result<Self, RealRunError> {
        let config = ConfigFile::write(index, config)?;
        let mut command = Command::new(program);
        command.env("RELAY_CONFIG", &config.path);
        command
            .stdin(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true);
        let mut child = command.spawn()?;
        let log = child
            .stderr
            .take()
            .ok_or_else(|| std::io::Error::other("the gateway's standard error is not captured"))?;
        let mut lines = BufReader::new(log).lines();
        let address = timeout(READY_TIMEOUT, listening_address(&mut lines))
            .await
            .map_err(|_| RealRunError::GatewayNeverListens)??;
        // The rest of the log is read and dropped, so that the gateway never blocks on a full pipe.
        spawn_local(async move { while let Ok(Some(_)) = lines.next_line().await {} });
        Ok(GatewayProcess {
            child,
            address,
            _config: config,
        })
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(super) async fn wait_until_ready(&self) -> Result<(), RealRunError> {
        let started_at = Instant::now();
        while started_at.elapsed() < READY_TIMEOUT {
            let response = ClientConnection::new(self.address)
                .request(READY_REQUEST)
                .await;
            if matches!(response, Ok(STATUS_OK)) {
                return Ok(());
            }
            sleep(READY_POLL_INTERVAL).await;
        }
        Err(RealRunError::GatewayNeverReady)
    }

    pub(super) fn usage(&self) -> Usage {
        let Some(pid) = self.child.id() else {
            return Usage::default();
        };
        let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count);
        Usage {
            processor_s: processor_s(pid),
            peak_memory_kb: peak_memory_kb(&pid.to_string()),
            descriptors: descriptors as f64,
        }
    }
}

/// Processor time that a process has used, in seconds; 0 if the system does not report it.
fn processor_s(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The process name can contain spaces and parentheses; the fields follow its closing parenthesis.
    let fields: Vec<_> = stat
        .rsplit(')')
        .next()
        .unwrap_or("")
        .split_whitespace()
        .collect();
    let ticks = |index: usize| {
        fields
            .get(index)
            .and_then(|field| field.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    (ticks(USER_TICKS_FIELD) + ticks(SYSTEM_TICKS_FIELD)) / TICKS_PER_S
}

/// Reads a gateway's log up to the line with the address that the gateway listens on.
async fn listening_address(
    lines: &mut Lines<impl AsyncBufRead + Unpin>,
) -> Result<SocketAddr, RealRunError> {
    while let Some(line) = lines.next_line().await? {
        if let Some((_, address)) = line.split_once(LISTENING_PREFIX) {
            return address
                .trim()
                .parse()
                .map_err(|error| std::io::Error::other(error).into());
        }
    }
    Err(RealRunError::GatewayEnded)
}

/// A configuration file, which is removed when the value is dropped.
struct ConfigFile {
    path: PathBuf,
}

impl ConfigFile {
    fn write(index: u32, config: &Value) -> std::io::Result<Self> {
        let name = format!("fleet-emulator-{}-{index}.json", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, config.to_string())?;
        Ok(ConfigFile { path })
    }
}

impl Drop for ConfigFile {
    fn drop(&mut self) {
        // A file that remains in the temporary directory does no harm.
        let _ = std::fs::remove_file(&self.path);
    }
}
