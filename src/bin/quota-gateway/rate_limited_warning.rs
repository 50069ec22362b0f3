//! Rate-limited warnings about messages of peers, so that a faulty peer cannot fill the log.

use std::cell::Cell;
use std::fmt::Display;
use std::time::Duration;
use tokio::time::Instant;

/// Minimum time between two warnings of the same kind.
const MIN_INTERVAL: Duration = Duration::from_secs(10);

/// A kind of warning whose rate is limited independently of others.
#[derive(Default)]
pub struct RateLimitedWarning {
    last_logged_at: Cell<Option<Instant>>,
}

impl RateLimitedWarning {
    /// Logs `message` and `cause`, unless the last warning was logged less than `MIN_INTERVAL` ago.
    pub fn warn(&self, message: &str, cause: impl Display) {
        if self
            .last_logged_at
            .get()
            .is_none_or(|at| at.elapsed() > MIN_INTERVAL)
        {
            self.last_logged_at.set(Some(Instant::now()));
            tracing::warn!("{message}: {cause}");
        }
    }
}
