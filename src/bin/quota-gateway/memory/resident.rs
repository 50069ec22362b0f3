//! Measures the resident memory of the process as the platform does: the heap, the blocks, the program file and all else.
//!
//! Guards against memory that is not counted, such as the endpoint list, the customers, and what the heap keeps of
//! connections that are closed: the platform kills the process for all of it.

use nix::unistd::{sysconf, SysconfVar};
use std::cell::Cell;
use std::fs::File;
use std::os::unix::fs::FileExt;
use std::time::Duration;
use tokio::time::Instant;

#[cfg(test)]
mod tests;

/// Maximum age of a measurement.
const MAX_AGE: Duration = Duration::from_millis(10);
/// Age from which a measurement is taken again before memory is denied.
const MIN_AGE: Duration = Duration::from_millis(1);
/// Memory that may be allocated after a measurement until the next one, in bytes.
const MAX_ALLOCATED_BYTES: isize = 64 * 1024;
/// Size of a page where the system does not tell it.
const DEFAULT_PAGE_BYTES: usize = 4096;
/// Room for the text of `/proc/self/statm`: seven numbers.
const STATM_BYTES: usize = 192;
/// Index of the resident pages in `/proc/self/statm`.
const RESIDENT_FIELD: usize = 1;

/// The resident memory of the process: the last measurement, and what was allocated and released since.
pub struct ResidentMonitor {
    statm: File,
    page_bytes: usize,
    measured_bytes: Cell<usize>,
    measured_at: Cell<Instant>,
    allocated_since: Cell<isize>,
}

impl ResidentMonitor {
    /// Takes the first measurement. `None` if the system does not report the resident memory.
    pub fn open() -> Option<Self> {
        let page_bytes = sysconf(SysconfVar::PAGE_SIZE).ok().flatten();
        let monitor = ResidentMonitor {
            statm: File::open("/proc/self/statm").ok()?,
            page_bytes: page_bytes.map_or(DEFAULT_PAGE_BYTES, |bytes| bytes as usize),
            measured_bytes: Cell::new(0),
            measured_at: Cell::new(Instant::now()),
            allocated_since: Cell::new(0),
        };
        monitor.measure();
        Some(monitor)
    }

    /// Records that memory was allocated.
    pub fn record_allocated(&self, bytes: usize) {
        let allocated = self.allocated_since.get();
        self.allocated_since
            .set(allocated.saturating_add_unsigned(bytes));
    }

    /// Records that memory was returned to the system.
    pub fn record_released(&self, bytes: usize) {
        let allocated = self.allocated_since.get();
        self.allocated_since
            .set(allocated.saturating_sub_unsigned(bytes));
    }

    /// The resident memory in bytes. Measured again if the last measurement is old, or much was allocated since.
    pub fn bytes(&self) -> usize {
        let is_old = self.measured_at.get().elapsed() >= MAX_AGE;
        if is_old || self.allocated_since.get() >= MAX_ALLOCATED_BYTES {
            self.measure();
        }
        self.estimate()
    }

    /// The resident memory in bytes, measured just now.
    pub fn recent_bytes(&self) -> usize {
        if self.measured_at.get().elapsed() >= MIN_AGE {
            self.measure();
        }
        self.estimate()
    }

    fn estimate(&self) -> usize {
        self.measured_bytes
            .get()
            .saturating_add_signed(self.allocated_since.get())
    }

    /// Takes a measurement. If the system call fails, the last one and what is known of the time since stay in use.
    fn measure(&self) {
        self.measured_at.set(Instant::now());
        if let Some(pages) = self.resident_pages() {
            self.measured_bytes.set(pages * self.page_bytes);
            self.allocated_since.set(0);
        }
    }

    fn resident_pages(&self) -> Option<usize> {
        let mut text = [0; STATM_BYTES];
        let length = self.statm.read_at(&mut text, 0).ok()?;
        let text = std::str::from_utf8(&text[..length]).ok()?;
        text.split(' ').nth(RESIDENT_FIELD)?.parse().ok()
    }
}
