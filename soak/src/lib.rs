//! A soak test over real processes: many gateways on loopback, among stand-ins for endpoints, discovery, the counter and
//! clients, under faults that overlap in time. What the stand-ins see is judged by the rules of the protocol; the
//! gateways' own counters of broken rules have to stay at 0.
//!
//! - [`judge`]: what was seen of each request, and the rules
//! - `world`: what all parts share; `fleet`: the endpoints and when which change of them was published
//! - `endpoint`, `discovery`, `counter`: the stand-ins
//! - `clients`, `misbehaving_clients`: the load, and clients that misbehave
//! - `gateway`: the processes, their signals and logs
//! - `faults`: what goes wrong when, drawn from the seed

mod clients;
mod counter;
mod discovery;
mod endpoint;
mod faults;
mod fleet;
mod gateway;
mod gateway_config;
mod http;
pub mod judge;
mod lag;
mod misbehaving_clients;
mod soak;
mod world;

pub use soak::{Soak, SoakError, SoakReport};

use fleet_emulator::stream;
