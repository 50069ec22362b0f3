//! Retries of failed polls of the endpoint list.
//!
//! The periodic housekeeping checks once a second whether a retry is due, so a retry may be up to a second
//! late. A host that watches the list by itself, as the gateway's program does, ignores
//! `Action::WatchEndpoints`; the retries scheduled here then have no effect.

use crate::api::Millis;
use fastrand::Rng;

/// The shortest time until a failed poll is retried, in ms. A random time of up to the same length is added,
/// as all gateways would poll a recovered service at once otherwise.
const POLL_RETRY_MS: Millis = 500.0;

/// The time at which the next retry is due, if one is scheduled.
#[derive(Default)]
pub(crate) struct PollRetry(Option<Millis>);

impl PollRetry {
    /// Schedules a retry after a failed poll.
    pub(crate) fn poll_failed(&mut self, now: Millis, rng: &mut Rng) {
        self.0 = Some(now + POLL_RETRY_MS * (1.0 + rng.f64()));
    }

    /// Returns whether a retry is due, and clears it. The caller has to make the retry, as this returns true
    /// only once.
    pub(crate) fn take_due(&mut self, now: Millis) -> bool {
        self.0.take_if(|at| *at <= now).is_some()
    }
}
