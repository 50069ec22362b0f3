//! Reads HTTP/1.1 responses (RFC 9112) of endpoints, the counter and discovery, and defines the names of the protocol's
//! request headers.
//!
//! - `head`: parses the status line and the headers with httparse
//! - `body`: decodes bodies that are framed by length, by chunks or by the end of the connection
//! - `input`: decodes the bytes of a connection into heads and pieces of bodies
//! - `reader`: reads responses from a connection
//! - `response`: a response that was read to its end
//! - `following_bytes`: classifies the bytes that follow a response
//! - `header_names`: the names of the protocol's request headers
//! - `error`: the errors of a malformed response

mod body;
mod error;
mod following_bytes;
mod head;
pub mod header_names;
mod input;
mod reader;
mod response;
#[cfg(test)]
mod tests;

pub use head::Head;
pub use reader::Reader;
pub use response::{Response, ResponseBody};

/// Maximum size of a request or response body in the protocol.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
