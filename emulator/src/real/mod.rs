//! Runs of the gateway's program on loopback, with stand-ins for the services around it and emulated clients. Measures
//! the CPU time, memory and traffic of its processes.

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
