//! Warnings that any message of a peer may cause, limited in their rate: a faulty peer must not fill the log.

use std::cell::Cell;
use std::fmt::Display;
use std::time::Duration;
use tokio::time::Instant;

/// At least this time passes between two warnings of one kind.
const MIN_INTERVAL: Duration = Duration::from_secs(10);

/// One kind of warning.
#[derive(Default)]
pub struct RateLimitedWarning {
    last_logged_at: Cell<Option<Instant>>,
}

impl RateLimitedWarning {
    /// Logs what failed and why, unless the last warning is more recent than `MIN_INTERVAL`.
    pub fn warn(&self, what: &str, why: impl Display) {
        if self
            .last_logged_at
            .get()
            .is_none_or(|at| at.elapsed() > MIN_INTERVAL)
        {
            self.last_logged_at.set(Some(Instant::now()));
            tracing::warn!("{what}: {why}");
        }
    }
}
