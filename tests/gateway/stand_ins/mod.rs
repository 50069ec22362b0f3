//! The gateway under test, its configuration and its clients, with the stand-ins that the crate of that name has.

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
