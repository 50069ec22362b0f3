//! Measures the resident memory of the process, without the pages of the program file.
//!
//! Guards against memory that is not counted, such as the endpoint list, the customers, and what the heap keeps of
//! connections that are closed: the platform kills the process for all of it.

use std::cell::Cell;
use std::fs;
use std::time::Duration;
use tokio::time::Instant;

/// Minimum time between two measurements.
const INTERVAL: Duration = Duration::from_millis(10);

/// The resident memory of the process, measured at intervals.
#[derive(Default)]
pub struct ResidentMemory {
    last: Cell<Option<Measurement>>,
}

#[derive(Clone, Copy)]
struct Measurement {
    at: Instant,
    resident_bytes: usize,
    counted_bytes: usize,
}

impl ResidentMemory {
    /// Estimates the resident memory: the last measurement, and by how much the counted memory has grown since. `counted`
    /// is the counted memory. Returns 0 if the system does not report the resident memory.
    pub fn estimate(&self, counted: usize) -> usize {
        let recent = self.last.get().filter(|last| last.at.elapsed() < INTERVAL);
        let measurement = recent.unwrap_or_else(|| Measurement {
            at: Instant::now(),
            resident_bytes: resident_bytes().unwrap_or(0),
            counted_bytes: counted,
        });
        self.last.set(Some(measurement));
        measurement.resident_bytes + counted.saturating_sub(measurement.counted_bytes)
    }
}

/// The resident memory of this process, without the pages of the program file.
fn resident_bytes() -> Option<usize> {
    let status = fs::read_to_string("/proc/self/status").ok()?;
    let value = status
        .lines()
        .find_map(|line| line.strip_prefix("RssAnon:"))?;
    let kib: usize = value.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kib * 1024)
}
