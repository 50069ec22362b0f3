//! Reports how calls ended.

use super::client::IncrementCall;
use quota_gateway::Outcome;
use std::rc::Rc;

/// Receives the results of calls to the counter.
pub trait CounterReplyHandler {
    /// A call for this key has ended; `total` is 0 unless it succeeded.
    fn counter_reply(self: Rc<Self>, key: u64, outcome: Outcome, total: f64, elapsed_ms: f64);
}

/// Reports the end of each call, with the time that it took.
pub struct CallReporter {
    handler: Rc<dyn CounterReplyHandler>,
}

impl CallReporter {
    /// Reports to this handler.
    pub fn new(handler: Rc<dyn CounterReplyHandler>) -> Self {
        CallReporter { handler }
    }

    /// Reports the end of a call; `total` is 0 unless it succeeded.
    pub fn report(&self, call: &IncrementCall, outcome: Outcome, total: f64) {
        let elapsed_ms = call.started_at.elapsed().as_secs_f64() * 1000.0;
        self.handler
            .clone()
            .counter_reply(call.key, outcome, total, elapsed_ms);
    }
}
