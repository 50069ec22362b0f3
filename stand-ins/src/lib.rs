//! Stand-ins for the services around a gateway, shared by the gateway's tests, the soak test and the emulator's runs of
//! the real program. Nothing here depends on the program.
//!
//! The core does no I/O and is the same for all users:
//!
//! - [`message`]: HTTP messages
//! - [`counter_totals`]: calls of the shared counter and the totals that they lead to
//! - [`endpoint_list`]: the endpoint list, its versions and its wire format
//!
//! Two thin runtimes above it serve sockets:
//!
//! - tasks of one tokio thread, for many processes under load: [`connection`], [`server`], [`counter`], [`discovery`],
//!   [`list_publisher`], [`endpoint`], with faults as options ([`service_mode`], [`endpoint::Behaviour`]) and [`traffic`]
//!   counts
//! - [`blocking`]: a thread for each connection, for tests that script each step of a single gateway

pub mod blocking;
pub mod connection;
pub mod counter;
pub mod counter_totals;
pub mod discovery;
pub mod endpoint;
pub mod endpoint_list;
pub mod list_publisher;
pub mod message;
pub mod server;
pub mod service_mode;
pub mod traffic;
