//! A soak test with real processes: many gateways on loopback, with stand-ins for endpoints, discovery, the counter and
//! clients, under faults that overlap in time. The events that the stand-ins observe are checked against the rules of
//! the protocol. The gateways' own counters of broken rules have to stay at 0.
//!
//! - `arguments`, `run`, `report`: one run, from its arguments to its report
//! - `settings`, `scenario`: the settings of a run and the scenario that its seed draws
//! - `rules`: the rules of the protocol, and the observations that they are checked against
//! - `request_class`: the classes of requests
//! - `fleet`, `endpoint`: the endpoints; `notices`: the times at which gateways count as notified of their changes
//! - `gateway`: the processes under test; `gateway_directory`: their states as a load balancer knows them
//! - `clients`: the clients that put load on the gateways
//! - `faults`: the faults and their schedule, drawn from the seed
//! - `crowds`: a load test of one gateway beside crowds of clients, a program of its own
//! - `scheduling_delay`: the delay of this process, which the rules allow for
//! - `loopback`: the addresses of a run
//! - `error`: the reasons why a run fails

mod arguments;
mod clients;
mod crowds;
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
pub use crowds::{CrowdArguments, CrowdKind, CrowdReport, CrowdScenario};
pub use error::SoakError;
pub use report::SoakReport;
pub use rules::{Rule, Violation};
pub use scenario::Scenario;

use fleet_emulator::seeded_rng;
