//! A load test of one gateway process beside crowds: hundreds of clients that write slowly, stop in the middle of a
//! request, or do not read their responses. The seed of a run draws the crowd, the behaviour of the services, and the
//! signals that the gateway gets. The peak of the gateway's resident memory must stay below its memory limit, and
//! ordinary clients must be served.
//!
//! - `arguments`, `run`, `report`: one run, from its arguments to its report
//! - `scenario`: what the seed of a run draws
//! - `process`: the gateway process and its memory
//! - `services`: the stand-ins for endpoints, counter and discovery
//! - `member`: the clients of a crowd; `requests`: the texts that clients send
//! - `ordinary`: the ordinary clients, and which of their requests must be served

mod arguments;
mod member;
mod ordinary;
mod process;
mod report;
mod requests;
mod run;
mod scenario;
mod services;

pub use arguments::CrowdArguments;
pub use report::CrowdReport;
pub use scenario::{CrowdKind, CrowdScenario};
