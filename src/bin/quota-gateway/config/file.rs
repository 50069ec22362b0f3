//! The structure of the configuration file, except for the settings of the decision library. The fields have the names
//! of the JSON keys. Keys that are not named here are ignored.

use crate::discovery::list::EndpointList;
use quota_gateway::wire_settings::WireSettings;
use serde::Deserialize;
use std::net::SocketAddr;

/// The part of the file that the program uses.
#[derive(Deserialize)]
pub struct ProgramFile {
    /// Address on which the gateway listens for clients.
    pub listen: SocketAddr,
    /// Address of the discovery service, or of its agent on this machine.
    pub discovery: SocketAddr,
    /// Seed of all random choices, in hexadecimal.
    pub seed: String,
    pub limits: MachineLimits,
    /// Address on which the gateway receives gossip from other gateways.
    pub peer_listen: Option<SocketAddr>,
    /// Gossip addresses of all gateways by index, including this gateway.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Broadcast address that reaches all other gateways.
    pub peers_all: Option<SocketAddr>,
    /// Address of the shared counter.
    pub counter: Option<SocketAddr>,
    /// Last known endpoint list, used until discovery responds.
    pub known: Option<EndpointList>,
    pub settings: ProgramSettings,
}

/// Limits of the machine on the process.
#[derive(Deserialize)]
pub struct MachineLimits {
    /// Number of file descriptors that the process may use.
    pub sockets: usize,
    /// Memory that the process may use, in MB of 1,000,000 bytes.
    pub memory_mb: Option<f64>,
}

/// The settings that the program uses itself, as opposed to those that only the decision library uses.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ProgramSettings {
    /// Names of endpoint kinds; elsewhere a kind is an index into this list.
    pub kinds: Vec<String>,
    /// Request classes.
    pub categories: Vec<ClassOrPlan>,
    /// Customer plans.
    pub tiers_of_service: Vec<ClassOrPlan>,
    pub domain: GossipLimits,
    pub limits: ConnectionLimits,
}

/// A class or plan. The decision library identifies it by index only.
#[derive(Deserialize)]
pub struct ClassOrPlan {
    /// Name of the class or plan in requests.
    pub name: String,
}

/// Limits on the gossip that a gateway accepts.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct GossipLimits {
    /// Maximum number of gossip messages processed per second.
    pub peer_intake: f64,
}

/// Timeouts of connections.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ConnectionLimits {
    /// Time within which a connection to an endpoint must be established.
    pub connect_timeout_ms: f64,
}

/// The part of the same file that the decision library uses.
#[derive(Deserialize)]
pub struct LibraryFile {
    pub settings: WireSettings,
}
