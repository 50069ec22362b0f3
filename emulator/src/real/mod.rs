//! Runs of the gateway's program: stand-ins on loopback for all that it talks to, a load of clients, and what the
//! system reports of its processes.

mod arguments;
mod clients;
mod error;
mod figures;
mod gateway_config;
mod gateway_process;
mod run;
mod stand_ins;

pub use arguments::RealRun;
pub use error::RealRunError;
pub use figures::RealRunReport;
