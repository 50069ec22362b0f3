//! Counts the request heads in a stream without parsing them.

use std::cell::Cell;

/// Counts the empty lines in a stream. Each head ends with an empty line; empty lines in bodies are counted as well.
#[derive(Default)]
pub struct HeadEndCounter {
    count: Cell<u64>,
    /// True if the current line is not empty.
    line_has_text: Cell<bool>,
}

impl HeadEndCounter {
    /// Scans the next bytes of the stream.
    pub fn scan(&self, bytes: &[u8]) {
        for byte in bytes {
            match byte {
                b'\n' if !self.line_has_text.get() => self.count.set(self.count.get() + 1),
                b'\n' => self.line_has_text.set(false),
                b'\r' => {}
                _ => self.line_has_text.set(true),
            }
        }
    }

    /// Number of empty lines scanned so far.
    pub fn count(&self) -> u64 {
        self.count.get()
    }
}
