//! Violations of the rules, counted over the fleet.

use serde::Serialize;

/// Attempts after a disconnect that may be chance: the client's close and the attempt can cross on the way.
const TOLERATED_AFTER_DISCONNECT: u64 = 2;

/// How often each rule was violated.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Violations {
    /// Requests without a final response in time.
    pub unanswered: u64,
    /// Requests that were sent again although they may have been executed and must not be retried there.
    pub duplicated: u64,
    /// Attempts sent to an endpoint later than the grace time after the gateway was notified of its draining or removal.
    pub sent_after_drain: u64,
    /// Endpoints in slow start that failed under the load.
    pub overloaded_endpoints: u64,
    /// Attempts that began more than 0.1 s after the client had disconnected.
    pub sent_after_disconnect: u64,
    /// The first violation, in words.
    pub first: Option<String>,
}

impl Violations {
    /// Keeps the description of the first violation.
    pub(crate) fn describe_first(&mut self, description: impl FnOnce() -> String) {
        self.first.get_or_insert_with(description);
    }

    /// Whether no rule was violated.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.unanswered == 0
            && self.duplicated == 0
            && self.sent_after_drain == 0
            && self.overloaded_endpoints == 0
            && self.sent_after_disconnect <= TOLERATED_AFTER_DISCONNECT
    }
}
