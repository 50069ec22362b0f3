//! The gateway processes under test.
//!
//! - `config`: the configuration of a gateway
//! - `launcher`: the command that starts a gateway, and the state that all gateways of a run share
//! - `process`: one process, its configuration file and the signals sent to it
//! - `health`: readiness, the gateway's own count of broken rules, crashes and memory
//! - `log`: the gateway's log
//! - `shutdown`: the end of a process by SIGTERM or SIGKILL; `shutdown_plan`: faults during a shutdown
//! - `processor`, `thread_states`: the processor that a process may use, and the states of its threads

mod config;
mod health;
mod launcher;
mod log;
mod process;
mod processor;
mod shutdown;
mod shutdown_plan;
mod thread_states;

pub use config::{gateway_config, Addresses, CommonConfig};
pub use launcher::Launcher;
pub use process::Gateway;
pub use shutdown_plan::{ShutdownPlan, STALL_DURATION};
