//! Calls to the shared counter.

use crate::api::{CustomerId, Outcome, Request, RequestId};
use crate::state::Charge;
use std::collections::{BTreeMap, VecDeque};

/// A customer under a plan: what a charge is made to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Account {
    pub(crate) customer: CustomerId,
    /// The plan's index in the settings.
    pub(crate) plan: usize,
}

impl Account {
    /// The account that a request is charged to.
    pub(crate) fn of(request: &Request) -> Self {
        Account {
            customer: request.customer,
            plan: request.plan as usize,
        }
    }
}

/// A call to the counter that has not been answered yet.
pub(crate) struct CounterCall {
    pub(crate) account: Account,
    /// The request that the call was made for.
    pub(crate) request: RequestId,
    pub(crate) charge: Charge,
}

/// The answer to a call, or its failure.
#[derive(Clone, Copy)]
pub(crate) struct CounterReply {
    pub(crate) key: u64,
    pub(crate) outcome: Outcome,
    pub(crate) total: f64,
    pub(crate) elapsed_ms: f64,
}

impl CounterReply {
    /// The total after the call, if the counter returned one.
    pub(crate) fn valid_total(&self) -> Option<f64> {
        (self.outcome == Outcome::Success && self.total.is_finite()).then_some(self.total)
    }
}

/// The calls in flight, by key. Calls with the same key are answered in order.
#[derive(Default)]
pub(crate) struct PendingCounterCalls(BTreeMap<u64, VecDeque<CounterCall>>);

impl PendingCounterCalls {
    pub(crate) fn push(&mut self, key: u64, call: CounterCall) {
        self.0.entry(key).or_default().push_back(call);
    }

    /// Takes out the oldest call with this key.
    pub(crate) fn pop(&mut self, key: u64) -> Option<CounterCall> {
        let calls = self.0.get_mut(&key)?;
        let call = calls.pop_front();
        if calls.is_empty() {
            self.0.remove(&key);
        }
        call
    }
}

/// Bits of a counter key that tell a customer's windows apart; the rest is the customer's number.
const WINDOW_BITS: u32 = 30;

/// The key under which the shared counter holds a customer's usage in one window.
pub(crate) fn counter_key(customer: CustomerId, window: u64) -> u64 {
    customer << WINDOW_BITS | window & ((1 << WINDOW_BITS) - 1)
}
