//! The gateway on loopback sockets, against stand-ins for endpoints, the counter and discovery.
#![allow(missing_docs)]

mod attempts;
mod clients;
mod counter;
mod discovery;
mod peers;
mod races;
mod service;
mod stand_ins;
