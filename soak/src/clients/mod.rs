//! The clients that put load on the gateways.
//!
//! - `context`: the state of a run that clients share
//! - `request`, `outcome`: requests as clients send them, and their outcomes
//! - `steady`: clients that make requests one after the other; some disconnect early, send slowly or pipeline requests
//! - `shutdown`: clients that send requests to a gateway that is shutting down, until it is killed
//! - `misbehaving`: clients that never send a valid request
//! - `idle`: clients that send nothing and use up the gateways' file descriptors

mod context;
mod idle;
mod misbehaving;
mod outcome;
mod request;
mod shutdown;
mod steady;

pub use context::{ClientContext, TransactionIds};
pub use idle::run as run_idle;
pub use misbehaving::run as run_misbehaving;
pub use shutdown::{start as start_shutdown_clients, LEAD_TIME};
pub use steady::Client;
