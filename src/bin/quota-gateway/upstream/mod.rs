//! Connections to endpoints, and attempts on them. A connection carries one request at a time.
//!
//! - `pool`: the idle connections to each endpoint, and the limit on all open connections
//! - `connection`: a single connection: writing a request, and whether the connection can be reused
//! - `request`: the request that an attempt sends, and its target
//! - `attempt`: a single attempt: connection, request, response and outcome

mod attempt;
mod connection;
mod pool;
mod request;

pub use attempt::AttemptResult;
pub use pool::ConnectionPool;
pub use request::{EncodedRequest, Instance, OutgoingRequest, Preparation, Target};
