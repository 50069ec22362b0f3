//! The configuration: one JSON file, named by the environment variable `RELAY_CONFIG`. It is checked once, when the
//! file is read.

mod error;
mod file;
#[cfg(test)]
mod tests;
mod validate;

pub use error::ConfigError;

use crate::discovery::list::{parsed_bytes, EndpointList};
use crate::retry::retry;
use error::FieldProblem;
use file::{ClassOrPlan, LibraryFile, MachineLimits, ProgramFile};
use quota_gateway::Settings;
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Environment variable with the path of the configuration file.
const CONFIG_VARIABLE: &str = "RELAY_CONFIG";
/// Time for which reading the file is retried. After SIGHUP the previous addresses work for another 1.5 s. The gateway
/// counts as notified of changes at the new discovery service 4 s after SIGHUP.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Memory limit of a file without one, in MB.
const DEFAULT_MEMORY_MB: f64 = 192.0;
/// The lower of the two meanings of MB: the platform may use either.
const BYTES_PER_MB: f64 = 1_000_000.0;

/// A checked configuration.
pub struct Config {
    /// Address on which the gateway listens for clients.
    pub listen: SocketAddr,
    /// Address of the discovery service, or of its agent on this machine.
    pub discovery: SocketAddr,
    /// Address of the shared counter.
    pub counter: Option<SocketAddr>,
    pub gossip: GossipConfig,
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of file descriptors that the process may use, from `limits.sockets`.
    pub max_descriptors: usize,
    /// Memory that the process may use, in bytes, from `limits.memory_mb`.
    pub memory_limit: usize,
    /// Last known endpoint list, used until discovery responds.
    pub known_endpoints: Option<EndpointList>,
    /// Settings of the decision library; `limits.max_connections` is not set.
    pub settings: Settings,
    /// Names of the classes, in the order of `settings.classes`.
    pub class_names: Vec<String>,
    /// Names of the plans, in the order of `settings.plans`.
    pub plan_names: Vec<String>,
    pub zone_names: Vec<String>,
    pub kind_names: Vec<String>,
    /// Timeout for establishing a connection to an endpoint.
    pub connect_timeout_ms: f64,
    /// Idle time after which endpoints close a connection. The pool stops using a connection earlier.
    pub idle_timeout_ms: f64,
}

/// The addresses and limits of gossip between gateways.
pub struct GossipConfig {
    pub listen: Option<SocketAddr>,
    /// Addresses of all gateways by index, including this gateway.
    pub peers: Vec<SocketAddr>,
    /// Broadcast address that reaches all other gateways.
    pub broadcast: Option<SocketAddr>,
    /// Maximum number of messages processed per second.
    pub max_messages_per_second: f64,
}

/// Reads the file that `RELAY_CONFIG` names. Retries for `READ_TIMEOUT` if reading fails with a transient error.
pub async fn load() -> Result<Config, ConfigError> {
    retry(READ_TIMEOUT, ConfigError::is_transient, || async {
        load_once()
    })
    .await
}

/// Memory that loading the file takes, in bytes; 0 if its length is not known. Most of a long file is a list.
pub fn loading_bytes() -> usize {
    let length = path().ok().and_then(|path| std::fs::metadata(path).ok());
    parsed_bytes(length.map_or(0, |file| file.len() as usize))
}

fn path() -> Result<String, ConfigError> {
    std::env::var(CONFIG_VARIABLE).map_err(|_| ConfigError::VariableMissing)
}

fn load_once() -> Result<Config, ConfigError> {
    let path = path()?;
    match std::fs::read_to_string(&path) {
        Ok(text) => parse(&text),
        Err(source) => Err(ConfigError::FileUnreadable { path, source }),
    }
}

/// Parses the text of a configuration file: once for the program and once for the decision library, because both read
/// keys of the same JSON objects.
fn parse(text: &str) -> Result<Config, ConfigError> {
    let file: ProgramFile = parse_part(text)?;
    let wire = parse_part::<LibraryFile>(text)?.settings;
    let settings = validate::validate(&file, &wire)?;
    let seed = u64::from_str_radix(&file.seed, 16)
        .map_err(|_| ConfigError::invalid("seed", FieldProblem::NotHexadecimal))?;
    Ok(Config {
        listen: file.listen,
        discovery: file.discovery,
        counter: file.counter,
        gossip: GossipConfig {
            listen: file.peer_listen,
            peers: file.peers,
            broadcast: file.peers_all,
            max_messages_per_second: file.settings.domain.peer_intake,
        },
        seed,
        max_descriptors: file.limits.sockets,
        memory_limit: memory_limit(&file.limits),
        known_endpoints: file.known,
        class_names: names(file.settings.categories),
        plan_names: names(file.settings.tiers_of_service),
        zone_names: wire.zone_names,
        kind_names: file.settings.kinds,
        connect_timeout_ms: file.settings.limits.connect_timeout_ms,
        idle_timeout_ms: settings.limits.idle_timeout_ms,
        settings,
    })
}

/// The memory limit in bytes. `validate` has checked its range.
fn memory_limit(limits: &MachineLimits) -> usize {
    let megabytes = limits.memory_mb.unwrap_or(DEFAULT_MEMORY_MB);
    (megabytes * BYTES_PER_MB) as usize
}

/// Parses the keys that `T` defines.
fn parse_part<'text, T: Deserialize<'text>>(text: &'text str) -> Result<T, ConfigError> {
    let mut json = serde_json::Deserializer::from_str(text);
    serde_path_to_error::deserialize(&mut json).map_err(|error| ConfigError::Syntax {
        field: error.path().to_string(),
        source: error.into_inner(),
    })
}

fn names(entries: Vec<ClassOrPlan>) -> Vec<String> {
    entries.into_iter().map(|entry| entry.name).collect()
}
