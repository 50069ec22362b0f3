//! Counts of the calls and bytes that a server has handled.

use std::cell::Cell;

/// A snapshot of the counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Number of calls.
    pub calls: u64,
    /// Number of bytes, in the directions that the server counts.
    pub bytes: u64,
}

/// Counts the calls and bytes of a server.
#[derive(Debug, Default)]
pub struct TrafficMeter {
    traffic: Cell<Traffic>,
}

impl TrafficMeter {
    /// Adds one call.
    pub fn add_call(&self) {
        let mut traffic = self.traffic.get();
        traffic.calls += 1;
        self.traffic.set(traffic);
    }

    /// Adds `bytes` to the byte count.
    pub fn add_bytes(&self, bytes: usize) {
        let mut traffic = self.traffic.get();
        traffic.bytes += bytes as u64;
        self.traffic.set(traffic);
    }

    /// The counts so far.
    #[must_use]
    pub fn read(&self) -> Traffic {
        self.traffic.get()
    }
}
