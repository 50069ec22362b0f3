//! The gateways' processes.
//!
//! - `config`: what they are started with
//! - `launcher`: how they are started, and what they share with the rest of the run
//! - `process`: one process, its configuration file and its signals
//! - `health`: whether it is ready, what it counts, whether it has crashed
//! - `log`: what it logs
//! - `shutdown`: its end, by SIGTERM or SIGKILL; `shutdown_plan`: what happens to it meanwhile
//! - `processor`, `thread_states`: what the system does with it

mod config;
mod health;
mod launcher;
mod log;
mod process;
mod processor;
mod shutdown;
mod shutdown_plan;
mod thread_states;

pub use config::{Addresses, Site};
pub use launcher::Launcher;
pub use process::Gateway;
pub use shutdown_plan::{ShutdownPlan, STALL};
