//! Counts of what a stand-in has exchanged.

use std::cell::Cell;

/// Calls and bytes up to one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Calls.
    pub calls: u64,
    /// Bytes, in the directions that the stand-in counts.
    pub bytes: u64,
}

/// Counts calls and bytes.
#[derive(Debug, Default)]
pub struct TrafficMeter {
    traffic: Cell<Traffic>,
}

impl TrafficMeter {
    /// Counts a call.
    pub fn add_call(&self) {
        let mut traffic = self.traffic.get();
        traffic.calls += 1;
        self.traffic.set(traffic);
    }

    /// Counts bytes.
    pub fn add_bytes(&self, bytes: usize) {
        let mut traffic = self.traffic.get();
        traffic.bytes += bytes as u64;
        self.traffic.set(traffic);
    }

    /// What was counted so far.
    #[must_use]
    pub fn read(&self) -> Traffic {
        self.traffic.get()
    }
}
