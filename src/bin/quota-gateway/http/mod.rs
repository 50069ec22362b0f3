//! Reads HTTP/1.1 responses of endpoints, the counter and discovery, and names the headers of the protocol.
//!
//! - `head`: the status line and headers, by httparse
//! - `body`: the framing of bodies: by length, chunked, or up to the connection's end
//! - `reader`: both on a socket
//! - `header_names`: the protocol's headers, for requests as well
//! - `error`: what can be wrong with a response

mod body;
mod error;
mod head;
pub mod header_names;
mod reader;
#[cfg(test)]
mod tests;

pub use head::Head;
pub use reader::Reader;

/// Largest body of a message, as the protocol has it.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
