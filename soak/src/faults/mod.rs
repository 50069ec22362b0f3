//! What goes wrong when, drawn from the seed.
//!
//! - `schedule`: two or three faults at a time until the load ends
//! - `injector`: what an injected fault needs, and what it draws
//! - `service_faults`, `endpoint_faults`, `gateway_faults`: the faults, by what they meet
//! - `processes`: the gateways and endpoints that faults end and start again
//! - `system_calls`: which system calls of a process fail

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
