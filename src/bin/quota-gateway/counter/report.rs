//! Reports the results of calls.

use super::client::IncrementCall;
use quota_gateway::Outcome;
use std::rc::Rc;

/// Receives the results of calls to the counter.
pub trait CounterReplyHandler {
    /// Handles the result of a call for `key`; `total` is 0 unless the call succeeded.
    fn counter_reply(self: Rc<Self>, key: u64, outcome: Outcome, total: f64, elapsed_ms: f64);
}

/// Reports the result and the duration of each call.
pub struct CallReporter {
    handler: Rc<dyn CounterReplyHandler>,
}

impl CallReporter {
    /// Creates a reporter for this handler.
    pub fn new(handler: Rc<dyn CounterReplyHandler>) -> Self {
        CallReporter { handler }
    }

    /// Reports the result of a call; `total` is 0 unless the call succeeded.
    pub fn report(&self, call: &IncrementCall, outcome: Outcome, total: f64) {
        let elapsed_ms = call.started_at.elapsed().as_secs_f64() * 1000.0;
        self.handler
            .clone()
            .counter_reply(call.key, outcome, total, elapsed_ms);
    }
}
