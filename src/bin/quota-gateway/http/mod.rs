//! Reads HTTP/1.1 responses (RFC 9112) of endpoints, the counter and discovery, and defines the header names of the
//! protocol.
//!
//! - `head`: parses the status line and the headers with httparse
//! - `body`: decodes bodies that are framed by length, by chunks or by the end of the connection
//! - `reader`: reads complete responses from a connection
//! - `header_names`: the header names of requests and responses
//! - `error`: the errors of a malformed response

mod body;
mod error;
mod head;
pub mod header_names;
mod reader;
#[cfg(test)]
mod tests;

pub use head::Head;
pub use reader::Reader;

/// Maximum size of a body in the protocol.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
