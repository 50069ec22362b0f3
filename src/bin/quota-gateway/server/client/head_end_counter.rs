//! Finds out whether more than one head has arrived, without parsing.

use std::cell::Cell;

/// Counts the empty lines in a stream. Each head ends with one; empty lines in bodies are counted, too.
#[derive(Default)]
pub struct HeadEndCounter {
    count: Cell<u64>,
    /// The line that has begun is not empty.
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

    /// Number of empty lines so far.
    pub fn count(&self) -> u64 {
        self.count.get()
    }
}
