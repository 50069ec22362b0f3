//! A soak test over real processes: many gateways on loopback, among stand-ins for endpoints, discovery, the counter and
//! clients, under faults that overlap in time. What the stand-ins see is judged by the rules of the protocol; the
//! gateways' own counters of broken rules have to stay at 0.
//!
//! - [`judge`]: what was seen of each request, and the rules
//! - `world`: what all parts share; `fleet`: the endpoints and when which change of them was published
//! - `endpoint`, `discovery`, `counter`: the stand-ins
//! - `conditions`: what a run is made under, drawn from the seed
//! - `clients`, `misbehaving_clients`, `crowd`: the load, clients that misbehave, and idle ones that fill the gateways'
//!   descriptors
//! - `request`, `outcome`: requests as clients send them, and what becomes of them
//! - `shutdown_clients`: clients that send until a gateway that ends is killed
//! - `gateway`: the processes, their signals and logs
//! - `shutdown_plan`: what happens to a process while it ends
//! - `faults`: what goes wrong when, drawn from the seed

mod clients;
pub mod conditions;
mod counter;
mod crowd;
mod discovery;
mod endpoint;
mod faults;
mod fleet;
mod gateway;
mod gateway_config;
mod http;
pub mod judge;
mod lag;
mod loopback;
mod misbehaving_clients;
mod outcome;
mod process_state;
mod request;
mod shutdown_clients;
mod shutdown_plan;
mod soak;
mod world;

pub use soak::{Soak, SoakError, SoakReport};

use fleet_emulator::stream;
