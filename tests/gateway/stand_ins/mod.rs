//! Test support: the gateway under test, its configuration and clients, and the servers of the `stand_ins` crate.

mod config;
mod faults;
mod gateway;
mod requests;

pub use ::stand_ins::blocking::*;
pub use ::stand_ins::message::{response, Message};
pub use config::*;
pub use faults::*;
pub use gateway::*;
pub use requests::*;
