//! Charges at the shared counter, and the replies to them.

use crate::api::{CustomerId, Millis, Outcome, Request, RequestId};
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

/// An addition to the shared counter.
#[derive(Clone, Copy)]
pub(crate) struct Charge {
    /// Number of the customer's window in which it is counted.
    pub(crate) window: u64,
    /// Time until that window ends, in ms.
    pub(crate) window_remaining_ms: Millis,
    /// What is added to the count: the request's units and those not settled before, weighted by forward decay.
    pub(crate) weighted_units: f64,
    /// The request's units.
    pub(crate) units: f64,
}

/// A charge whose call to the counter awaits its reply.
pub(crate) struct PendingCharge {
    pub(crate) account: Account,
    /// The request that the call was made for.
    pub(crate) request: RequestId,
    pub(crate) charge: Charge,
}

/// The reply of the counter to a charge, or the failure of the call.
#[derive(Clone, Copy)]
pub(crate) struct ChargeReply {
    pub(crate) key: u64,
    pub(crate) outcome: Outcome,
    /// The count after the call, in weighted units; meaningful only after a success.
    pub(crate) total: f64,
    pub(crate) elapsed_ms: Millis,
}

/// What a reply says of the charge that the call was made for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ChargeResult {
    /// The charge is on the count, whose total is now this, in weighted units.
    Counted { total: f64 },
    /// The counter can't have counted it.
    NotCounted,
    /// The call timed out or broke off, or the response was invalid.
    MayHaveCounted,
}

impl ChargeReply {
    pub(crate) fn charge_result(&self) -> ChargeResult {
        match self.valid_total() {
            Some(total) => ChargeResult::Counted { total },
            None if self.outcome.never_executed() => ChargeResult::NotCounted,
            None => ChargeResult::MayHaveCounted,
        }
    }

    /// The total after the call, if the counter returned one.
    pub(crate) fn valid_total(&self) -> Option<f64> {
        (self.outcome == Outcome::Success && self.total.is_finite()).then_some(self.total)
    }
}

/// The charges whose calls are in flight, by key. Calls with the same key are replied to in order.
#[derive(Default)]
pub(crate) struct PendingCharges(BTreeMap<u64, VecDeque<PendingCharge>>);

impl PendingCharges {
    pub(crate) fn push(&mut self, key: u64, pending: PendingCharge) {
        self.0.entry(key).or_default().push_back(pending);
    }

    /// Removes the oldest charge with this key.
    pub(crate) fn pop(&mut self, key: u64) -> Option<PendingCharge> {
        let queue = self.0.get_mut(&key)?;
        let oldest = queue.pop_front();
        if queue.is_empty() {
            self.0.remove(&key);
        }
        oldest
    }
}

/// Bits of a counter key that hold the number of the customer's window; the others hold the customer's number.
const WINDOW_BITS: u32 = 30;

/// The key under which the shared counter holds a customer's usage in one window.
pub(crate) fn counter_key(customer: CustomerId, window: u64) -> u64 {
    customer << WINDOW_BITS | window & ((1 << WINDOW_BITS) - 1)
}
