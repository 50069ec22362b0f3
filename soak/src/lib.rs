//! A soak test over real processes: many gateways on loopback, among stand-ins for endpoints, discovery, the counter
//! and clients, under faults that overlap in time. What the stand-ins see is checked by the rules of the protocol;
//! the gateways' own counters of broken rules have to stay at 0.
//!
//! - `arguments`, `run`, `report`: one run, from its arguments to its report
//! - `settings`, `scenario`: what was set or drawn for a run
//! - `rules`: what was seen of each request, and the rules that it is checked by
//! - `fleet`, `endpoint`: the endpoints; `notices`: when gateways were notified of their changes
//! - `gateway`: the processes under test; `gateway_directory`: what clients know of them
//! - `clients`: the load
//! - `faults`: what goes wrong when, drawn from the seed
//! - `scheduling_delay`: how late this process itself runs

mod arguments;
mod clients;
mod endpoint;
mod error;
mod faults;
mod fleet;
mod gateway;
mod gateway_directory;
mod loopback;
mod notices;
mod report;
mod request_class;
mod rules;
mod run;
mod scenario;
mod scheduling_delay;
mod settings;

pub use arguments::SoakArguments;
pub use error::SoakError;
pub use report::SoakReport;
pub use rules::{Rule, Violation};
pub use scenario::Scenario;

use fleet_emulator::stream as seeded_rng;
