//! The gateway on loopback sockets, against stand-ins for endpoints, the counter and discovery.
#![allow(missing_docs)]

mod backends;
mod clients;
mod counter;
mod crossings;
mod discovery;
mod peers;
mod service;
mod stand_ins;
