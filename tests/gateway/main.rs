//! Integration tests: the real program on loopback sockets, with stand-ins for endpoints, the counter and discovery.
// Tests fail by panicking.
#![allow(clippy::unwrap_used)]

mod attempts;
mod client_timing;
mod clients;
mod coinciding_events;
mod counter;
mod discovery;
mod log_output;
mod memory;
mod peers;
mod pipelining;
mod races;
mod service;
mod shutdown;
mod stand_ins;
mod startup;
mod system_faults;
