//! The record of a run: what was sent, answered and run, with times in ms since its start.

use std::fs;
use std::io;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    start: Instant,
    lines: Mutex<Vec<(u128, String)>>,
}

impl Record {
    pub fn new() -> Self {
        Record {
            start: Instant::now(),
            lines: Mutex::default(),
        }
    }

    /// Adds a line.
    pub fn add(&self, line: String) {
        let at = self.start.elapsed().as_micros();
        let mut lines = self.lines.lock().expect("no thread panics with the lock");
        lines.push((at, line));
    }

    /// Adds a line and prints it.
    pub fn say(&self, line: String) {
        println!("{line}");
        self.add(line);
    }

    /// Writes all lines in the order of their times.
    pub fn write(&self, path: &Path) -> io::Result<()> {
        let lines = self.lines.lock().expect("no thread panics with the lock");
        let mut text = String::new();
        for (at, line) in lines.iter() {
            text += &format!("{:>10.3} {line}\n", *at as f64 / 1000.0);
        }
        fs::write(path, text)
    }
}
