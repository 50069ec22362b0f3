//! The clock that the decision library runs on, and its milliseconds as durations.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Longest timer or time-out, in seconds; the library's milliseconds may be negative or huge.
const MAX_TIMEOUT_S: f64 = 86_400.0;

/// Unix time in milliseconds that never goes back. Gateways derive the names of the counter's windows from it, and
/// the endpoint list states start times in it.
#[derive(Clone, Copy)]
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

    /// The present Unix time, in ms.
    pub fn now_ms(&self) -> f64 {
        self.start_unix_ms + self.started_at.elapsed().as_secs_f64() * 1000.0
    }
}

/// The library's milliseconds as a duration, between 0 and a day.
pub fn duration_from_ms(ms: f64) -> Duration {
    Duration::from_secs_f64((ms / 1000.0).clamp(0.0, MAX_TIMEOUT_S))
}
