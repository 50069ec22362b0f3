//! The buffer for a body that a peer sends in pieces.

use bytes::Bytes;
use thiserror::Error;

#[cfg(test)]
mod tests;

/// The body is longer than its buffer permits.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("body is longer than {max_bytes} bytes")]
pub struct BodyTooLong {
    max_bytes: usize,
}

/// Collects a body from its pieces.
///
/// Guards against a peer that sends a body in many short pieces. A piece is a slice of the buffer into which it was
/// read, and a slice keeps that whole buffer allocated: several KiB for a piece of a few bytes. Pieces are therefore
/// copied.
///
/// An announced length is allocated with the first piece, so that the body is never moved; the system provides memory
/// only for the pages that are written. Without one, the buffer allocates at most twice as many bytes as it has received.
/// In both cases it allocates at most the maximum length.
pub struct BodyBuffer {
    bytes: Vec<u8>,
    max_bytes: usize,
    announced_bytes: usize,
}

impl BodyBuffer {
    /// Creates an empty buffer for a body of at most `max_bytes`. `announced_bytes` is the length that the peer has
    /// announced, if any. Allocates nothing.
    pub fn new(max_bytes: usize, announced_bytes: Option<usize>) -> Self {
        BodyBuffer {
            bytes: Vec::new(),
            max_bytes,
            announced_bytes: announced_bytes.unwrap_or(0),
        }
    }

    /// Appends the next piece of the body.
    ///
    /// # Errors
    ///
    /// Fails if the body becomes longer than the maximum.
    pub fn push(&mut self, piece: &[u8]) -> Result<(), BodyTooLong> {
        let length = self.bytes.len() + piece.len();
        if length > self.max_bytes {
            return Err(BodyTooLong {
                max_bytes: self.max_bytes,
            });
        }
        if length > self.bytes.capacity() {
            let wanted = length.max(2 * self.bytes.len()).max(self.announced_bytes);
            let capacity = wanted.min(self.max_bytes);
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(piece);
        Ok(())
    }

    /// Returns the collected body in an allocation of its own length.
    pub fn into_bytes(mut self) -> Bytes {
        self.bytes.shrink_to_fit();
        self.bytes.into()
    }
}
