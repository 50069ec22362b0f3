//! Connections to endpoints, and attempts on them. One connection carries one request at a time.
//!
//! - `pool`: the idle connections to each endpoint, and the bound on all open ones
//! - `connection`: one connection: whether it can be used again, writing on it
//! - `request`: what an attempt sends, and where
//! - `attempt`: one attempt: a connection, the request, the response, the outcome

mod attempt;
mod connection;
mod pool;
mod request;

pub use attempt::{AttemptResult, CompleteResponse};
pub use pool::ConnectionPool;
pub use request::{OutgoingRequest, Preparation, Target};
