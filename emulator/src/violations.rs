//! Counts of rule violations over the whole fleet.

use serde::Serialize;

/// Number of attempts after a disconnect up to which the rule counts as kept, as the client's close and an attempt can
/// cross on the network.
const TOLERATED_AFTER_DISCONNECT: u64 = 2;

/// Number of violations of each rule.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Violations {
    /// Requests that got no final response in time.
    pub unanswered: u64,
    /// Attempts of a request that may already have been executed, sent to an endpoint that must not execute it again.
    pub duplicated: u64,
    /// Attempts sent to an endpoint later than the grace time after the notice of its draining or removal.
    pub sent_after_drain: u64,
    /// Endpoints in slow start that failed under overload.
    pub overloaded_endpoints: u64,
    /// Attempts that a gateway began more than 0.1 s after the client disconnected.
    pub sent_after_disconnect: u64,
    /// Description of the first violation; `None` if there was none.
    pub first: Option<String>,
}

impl Violations {
    /// Stores the description if it is that of the first violation.
    pub(crate) fn describe_first(&mut self, description: impl FnOnce() -> String) {
        self.first.get_or_insert_with(description);
    }

    /// Whether no rule was violated, apart from the tolerated number of attempts after a disconnect.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.unanswered == 0
            && self.duplicated == 0
            && self.sent_after_drain == 0
            && self.overloaded_endpoints == 0
            && self.sent_after_disconnect <= TOLERATED_AFTER_DISCONNECT
    }
}
