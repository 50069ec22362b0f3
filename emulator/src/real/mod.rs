//! Runs of the gateway's program on loopback, against stand-ins for the surrounding services and under the load of
//! emulated clients. A run measures the CPU time, memory and traffic of the gateways.

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
