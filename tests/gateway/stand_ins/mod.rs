//! Stand-ins for the services around the gateway and for its clients, and the gateway under test.

mod config;
mod counter;
mod discovery;
mod endpoint;
mod faults;
mod gateway;
mod http;
mod requests;
mod server;

pub use config::*;
pub use counter::*;
pub use discovery::*;
pub use endpoint::*;
pub use faults::*;
pub use gateway::*;
pub use http::*;
pub use requests::*;
pub use server::*;

use std::time::Duration;

/// Waits are on conditions; this only ends a test that has failed.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);
