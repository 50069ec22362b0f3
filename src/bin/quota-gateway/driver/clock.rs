//! The clock that the decision library runs on.

use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Unix time in milliseconds that never goes back. Gateways derive the names of the counter's windows from it, and
/// the endpoint list states start times in it.
pub struct Clock {
    start_unix_ms: f64,
    started_at: Instant,
}

impl Clock {
    /// Reads the system's clock once; from then on only elapsed time is added.
    pub fn new() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            start_unix_ms: unix.as_secs_f64() * 1000.0,
            started_at: Instant::now(),
        }
    }

    /// The present moment.
    pub fn now_ms(&self) -> f64 {
        self.start_unix_ms + self.started_at.elapsed().as_secs_f64() * 1000.0
    }
}
