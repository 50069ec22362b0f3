//! Blocking servers with one thread per connection, for tests that script each response. Their functions panic when a
//! test fails.

mod counter;
mod discovery;
mod endpoint;
mod http;
mod server;
mod timeout;

pub use counter::start_counter;
pub use discovery::{list_entry, push_update, Discovery};
pub use endpoint::{healthy_endpoint, StalledEndpoint};
pub use http::read_message;
pub use server::{start_server, unused_address, Reply};
pub use timeout::TEST_TIMEOUT;
