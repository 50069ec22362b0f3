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
/// copied. The buffer allocates at most twice as many bytes as it has received, and at most the maximum length.
pub struct BodyBuffer {
    bytes: Vec<u8>,
    max_bytes: usize,
}

impl BodyBuffer {
    /// Creates an empty buffer for a body of at most `max_bytes`. Allocates nothing.
    pub fn new(max_bytes: usize) -> Self {
        BodyBuffer {
            bytes: Vec::new(),
            max_bytes,
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
            let capacity = length.max(2 * self.bytes.len()).min(self.max_bytes);
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
