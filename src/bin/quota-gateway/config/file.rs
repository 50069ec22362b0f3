//! The configuration file as it is written, but for the settings of the decision library: its fields have the names of
//! the JSON keys. Keys that are not named here are ignored.

use crate::discovery::list::EndpointList;
use quota_gateway::wire_settings::WireSettings;
use serde::Deserialize;
use std::net::SocketAddr;

/// What concerns the program.
#[derive(Deserialize)]
pub struct ProgramFile {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The discovery service, or its agent on this machine.
    pub discovery: SocketAddr,
    /// Seed of all random choices, in hexadecimal.
    pub seed: String,
    pub limits: MachineLimits,
    /// Where gossip from other gateways arrives.
    pub peer_listen: Option<SocketAddr>,
    /// The gossip addresses of all gateways, this one included, by position.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// The address that reaches all other gateways at once.
    pub peers_all: Option<SocketAddr>,
    /// The shared counter.
    pub counter: Option<SocketAddr>,
    /// The last known endpoint list, for use until discovery responds.
    pub known: Option<EndpointList>,
    pub settings: ProgramSettings,
}

/// What the machine allows the process.
#[derive(Deserialize)]
pub struct MachineLimits {
    /// File descriptors.
    pub sockets: usize,
}

/// The keys of the site's settings that concern the program and not its decisions.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ProgramSettings {
    /// The names of endpoint kinds; elsewhere a kind is an index into them.
    pub kinds: Vec<String>,
    /// Request classes.
    pub categories: Vec<Named>,
    /// Customer plans.
    pub tiers_of_service: Vec<Named>,
    pub domain: GossipLimits,
    pub limits: ConnectionLimits,
}

/// A class or plan, which the decision library knows by its index alone.
#[derive(Deserialize)]
pub struct Named {
    /// Its name in requests.
    pub name: String,
}

/// What gateways take in from each other.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct GossipLimits {
    /// Most gossip messages processed per second.
    pub peer_intake: f64,
}

/// The time-outs of connections.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ConnectionLimits {
    /// Time within which a connection to an endpoint comes up.
    pub connect_timeout_ms: f64,
}

/// The same file, as the decision library sees it.
#[derive(Deserialize)]
pub struct LibraryFile {
    pub settings: WireSettings,
}
