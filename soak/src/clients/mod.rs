//! The load.
//!
//! - `context`: what clients need of a run
//! - `request`, `outcome`: requests as clients send them, and what becomes of them
//! - `steady`: clients that make requests one after the other; some leave early, send slowly or send ahead
//! - `shutdown`: clients that send until a gateway that ends is killed
//! - `misbehaving`: clients that never send a valid request
//! - `idle`: clients that send nothing and fill the gateways' descriptors

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
