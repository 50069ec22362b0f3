//! When a failed poll of the endpoint list is retried. The housekeeping looks once a second whether a retry
//! is due, so that it can come up to a second later. A host that watches the list by itself, as the
//! gateway's program does, ignores `Action::WatchEndpoints`: the retries here then lead to nothing.

use crate::api::Millis;
use fastrand::Rng;

/// Shortest time until a failed poll is retried, in ms. A random time of up to as much is added: a service
/// that has recovered would be polled by all gateways at once otherwise.
const POLL_RETRY_MS: Millis = 500.0;

/// The retry that is due next, if any.
#[derive(Default)]
pub(crate) struct PollRetry(Option<Millis>);

impl PollRetry {
    /// A poll has failed: schedules a retry.
    pub(crate) fn poll_failed(&mut self, now: Millis, rng: &mut Rng) {
        self.0 = Some(now + POLL_RETRY_MS * (1.0 + rng.f64()));
    }

    /// Whether a retry is due. The caller has to make it, as it is due only once.
    pub(crate) fn take_due(&mut self, now: Millis) -> bool {
        self.0.take_if(|at| *at <= now).is_some()
    }
}
