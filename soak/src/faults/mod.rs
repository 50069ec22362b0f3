//! The faults of a run and their schedule, drawn from the seed.
//!
//! - `schedule`: overlapping faults at random times until the load ends
//! - `injector`: the state that faults need, and the choice of gateways and endpoints
//! - `service_faults`, `endpoint_faults`, `gateway_faults`: the faults, by the process that they affect
//! - `processes`: the gateways and endpoints that faults stop and start again
//! - `system_calls`: the system calls of a process that fail

mod endpoint_faults;
mod gateway_faults;
mod injector;
mod processes;
mod schedule;
mod service_faults;
mod system_calls;

pub use gateway_faults::shut_down;
pub use injector::FaultContext;
pub use processes::Processes;
pub use schedule::run;
pub use system_calls::draw_call_faults;
