//! Splits the byte stream of a watch into JSON objects.

use super::error::DiscoveryError;
use super::list::MAX_LIST_BYTES;
use bytes::{Bytes, BytesMut};
use serde::de::IgnoredAny;

#[cfg(test)]
mod tests;

/// A unit of the stream.
#[derive(Debug, PartialEq)]
pub enum Frame {
    /// An empty line, or the end of a line that held an object.
    LineEnd,
    /// The text of one object.
    Object(Bytes),
}

/// Finds the JSON objects in the stream of a watch and returns each as soon as it is complete. An object may span one
/// line or several, and may arrive in pieces of any length. Each byte is scanned once.
#[derive(Default)]
pub struct ObjectFramer {
    buffer: BytesMut,
    /// Number of bytes in the buffer that have been scanned.
    scanned: usize,
    /// Number of unclosed braces at the end of the scanned bytes.
    depth: usize,
    in_string: bool,
    escaped: bool,
    /// Length of the unfinished object when it was last parsed.
    parsed_len: usize,
}

/// The unit that a scanned byte completes.
enum Boundary {
    Line,
    Object,
}

impl ObjectFramer {
    /// Appends received bytes to the buffer.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// True if an object has begun and is not complete.
    pub fn inside_object(&self) -> bool {
        self.depth > 0
    }

    /// Returns the next complete frame, or `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// Fails if the buffered bytes cannot become valid objects or are longer than the longest list.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, DiscoveryError> {
        while let Some(&byte) = self.buffer.get(self.scanned) {
            self.scanned += 1;
            match self.scan(byte)? {
                Some(Boundary::Object) => return Ok(Some(Frame::Object(self.take_scanned()))),
                Some(Boundary::Line) => {
                    self.take_scanned();
                    return Ok(Some(Frame::LineEnd));
                }
                None => {}
            }
        }
        if self.buffer.len() > MAX_LIST_BYTES {
            return Err(DiscoveryError::ListTooLong);
        }
        self.check_unfinished_object()?;
        Ok(None)
    }

    fn scan(&mut self, byte: u8) -> Result<Option<Boundary>, DiscoveryError> {
        match byte {
            _ if self.escaped => self.escaped = false,
            b'\\' if self.in_string => self.escaped = true,
            b'"' if self.depth > 0 => self.in_string = !self.in_string,
            _ if self.in_string => {}
            b'{' => self.depth += 1,
            b'}' if self.depth == 1 => {
                self.depth = 0;
                return Ok(Some(Boundary::Object));
            }
            b'}' if self.depth > 0 => self.depth -= 1,
            b'\n' if self.depth == 0 => return Ok(Some(Boundary::Line)),
            _ if self.depth > 0 || byte.is_ascii_whitespace() => {}
            _ => return Err(DiscoveryError::NotAnObject),
        }
        Ok(None)
    }

    /// Fails early if the buffered part of an object cannot become valid JSON. That part is parsed again only after its
    /// length has doubled, so that an object that arrives in many pieces is parsed only a few times.
    fn check_unfinished_object(&mut self) -> Result<(), DiscoveryError> {
        if !self.inside_object() || self.buffer.len() < 2 * self.parsed_len {
            return Ok(());
        }
        self.parsed_len = self.buffer.len();
        match serde_json::from_slice::<IgnoredAny>(&self.buffer) {
            Err(error) if !error.is_eof() => Err(error.into()),
            _ => Ok(()),
        }
    }

    fn take_scanned(&mut self) -> Bytes {
        let end = self.scanned;
        self.scanned = 0;
        self.parsed_len = 0;
        self.buffer.split_to(end).freeze()
    }
}
