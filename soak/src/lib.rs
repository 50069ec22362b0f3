//! A soak test over real processes: many gateways on loopback, among stand-ins for endpoints, discovery, the counter and
//! clients, under troubles that overlap in time. What the stand-ins see is judged by the rules of the protocol; the
//! gateways' own counters of broken rules have to stay at 0.
//!
//! - [`judge`]: what was seen of each request, and the rules
//! - `world`: what all parts share; `fleet`: the endpoints and when which change of them was told
//! - `endpoint`, `discovery`, `counter`: the stand-ins
//! - `clients`, `rude_clients`: the load, and clients that misbehave
//! - `gateway`: the processes, their signals and logs
//! - `troubles`: what goes wrong when, drawn from the seed

mod clients;
mod counter;
mod discovery;
mod endpoint;
mod fleet;
mod gateway;
mod gateway_config;
mod http;
pub mod judge;
mod lag;
mod rude_clients;
mod soak;
mod troubles;
mod world;

pub use soak::{Soak, SoakError, SoakReport};

use fleet_emulator::stream;
