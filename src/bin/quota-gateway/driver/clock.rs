//! The clock that the decision library runs on, and the conversion of the library's milliseconds to durations.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Longest timer or timeout, in seconds: a value in milliseconds from the library may be negative or huge.
const MAX_TIMEOUT_S: f64 = 86_400.0;

/// A monotonic clock of Unix time in milliseconds. Gateways derive the names of the counter's windows from Unix time,
/// and the endpoint list states start times in it.
#[derive(Clone, Copy)]
pub struct Clock {
    start_unix_ms: f64,
    started_at: Instant,
}

impl Clock {
    /// Reads the system clock once. Later readings add the elapsed monotonic time to that value.
    pub fn new() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            start_unix_ms: unix.as_secs_f64() * 1000.0,
            started_at: Instant::now(),
        }
    }

    /// The current Unix time, in ms.
    pub fn now_ms(&self) -> f64 {
        self.start_unix_ms + self.started_at.elapsed().as_secs_f64() * 1000.0
    }
}

/// Converts the library's milliseconds to a duration, clamped to the range from 0 to a day.
pub fn duration_from_ms(ms: f64) -> Duration {
    Duration::from_secs_f64((ms / 1000.0).clamp(0.0, MAX_TIMEOUT_S))
}
