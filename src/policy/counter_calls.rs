//! Calls to the shared counter: their rate limit, the wait for their replies, and what a reply shows about
//! the counter's capacity.

use crate::api::{Action, Millis, Outcome};
use crate::policy::call_limiter::CallLimiter;
use crate::policy::counter_wait::CounterWait;
use crate::policy::shared_quota::key_ttl_ms;
use crate::state::{counter_key, ChargeReply, Context, PendingCharge, PendingCharges};

/// Limits the rate of calls to the counter, and stores the calls in flight.
pub(super) struct CounterCalls {
    pub(super) limiter: CallLimiter,
    wait: CounterWait,
    pending: PendingCharges,
}

impl CounterCalls {
    pub(super) fn new(now: Millis) -> Self {
        CounterCalls {
            limiter: CallLimiter::new(now),
            wait: CounterWait::default(),
            pending: PendingCharges::default(),
        }
    }

    /// Returns the longest time that a request with this latency budget waits for a reply, in ms.
    pub(super) fn max_wait_ms(&self, latency_budget_ms: Millis) -> Millis {
        self.wait.max_wait_ms(latency_budget_ms)
    }

    /// Starts a call that the limiter has permitted.
    pub(super) fn start(&mut self, cx: &mut Context, call: PendingCharge) {
        let key = counter_key(call.account.customer, call.charge.window);
        cx.actions.push(Action::AddToCounter {
            key,
            amount: call.charge.weighted_units,
            ttl_ms: key_ttl_ms(&call.charge),
        });
        self.pending.push(key, call);
    }

    /// Removes and returns the call that was replied to or has failed; none if the call is unknown.
    pub(super) fn end(&mut self, reply: &ChargeReply) -> Option<PendingCharge> {
        self.pending.pop(reply.key)
    }

    /// Updates the wait and the rate limit by a reply. Returns whether the reply shows that the counter is
    /// short of capacity.
    pub(super) fn record_reply(&mut self, cx: &Context, reply: &ChargeReply) -> bool {
        // The wait used here is that of a request whose latency budget is the shortest objective of all
        // classes: a reply that is too late for one class already shows a shortage. The wait is computed
        // before this reply changes it, as requests have waited by the old value.
        let classes = cx.settings.classes.iter();
        let shortest_objective_ms = classes
            .map(|class| class.latency_objective_ms)
            .fold(f64::INFINITY, f64::min);
        let max_wait_ms = self.wait.max_wait_ms(shortest_objective_ms);
        let valid = reply.valid_total().is_some();
        if valid {
            self.wait.record_reply(reply.elapsed_ms);
        }
        if valid && reply.elapsed_ms <= max_wait_ms {
            self.limiter.on_success();
            return false;
        }
        // An error response, which includes an invalid one, or a broken connection shows nothing about the
        // counter's capacity. A reply slower than the wait is a failure, as requests were admitted without
        // it.
        if matches!(
            reply.outcome,
            Outcome::ErrorResponse | Outcome::ConnectionReset
        ) {
            return false;
        }
        self.limiter.on_failure(cx.now, cx.now - reply.elapsed_ms);
        true
    }
}
