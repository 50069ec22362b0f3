//! Warnings that any request or message may cause: one of a kind is logged every ten seconds.

use std::cell::Cell;
use std::fmt::Display;
use std::time::Duration;
use tokio::time::Instant;

const MIN_INTERVAL: Duration = Duration::from_secs(10);

/// One kind of warning.
#[derive(Default)]
pub struct RateLimitedWarning {
    last_logged_at: Cell<Option<Instant>>,
}

impl RateLimitedWarning {
    /// Logs what happened and why, unless the last such warning is too recent.
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
