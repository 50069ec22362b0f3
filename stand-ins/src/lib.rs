//! Test doubles ("stand-ins") for the services around a gateway, shared by the gateway's integration tests, the soak
//! test and the emulator's runs of the real program. The crate does not depend on the gateway.
//!
//! The protocol modules do no I/O:
//!
//! - [`message`]: HTTP messages
//! - [`counter_totals`]: calls to the shared counter and the totals per key
//! - [`endpoint_list`]: the endpoint list, its versions and its wire format
//!
//! Two runtimes serve these protocols on sockets:
//!
//! - Asynchronous, for runs of many gateways under load: tokio tasks on one thread in [`connection`], [`server`],
//!   [`counter`], [`discovery`], [`list_publisher`] and [`endpoint`]. Faults are configured by [`service_mode`] and
//!   [`endpoint::Behaviour`]; [`traffic`] counts calls and bytes.
//! - [`blocking`], for tests that script each step of a single gateway: one thread per connection.

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
