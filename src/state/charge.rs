//! Charges to the shared counter, and the counter's replies.
//!
//! The counter keeps one count for each customer and window of time. The usage that a charge adds is weighted by
//! forward decay (`primitives::forward_decay`).

use crate::api::{CustomerId, Millis, Outcome, Request, RequestId};
use std::collections::{BTreeMap, VecDeque};

/// The account that is charged: a customer and the plan of that customer.
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

/// A charge to the shared counter: an amount to add to the count of one customer and window.
#[derive(Clone, Copy)]
pub(crate) struct Charge {
    /// Number of the customer's window in which the charge is counted.
    pub(crate) window: u64,
    /// Time until the window ends, in ms.
    pub(crate) window_remaining_ms: Millis,
    /// Amount added to the count: the request's units and the customer's unsettled units, weighted by forward decay.
    pub(crate) weighted_units: f64,
    /// Units of the request alone, without a weight.
    pub(crate) units: f64,
}

/// A charge whose call to the counter is in flight.
pub(crate) struct PendingCharge {
    pub(crate) account: Account,
    /// The request for which the call was made.
    pub(crate) request: RequestId,
    pub(crate) charge: Charge,
}

/// The counter's reply to a charge, or the failure of the call.
#[derive(Clone, Copy)]
pub(crate) struct ChargeReply {
    pub(crate) key: u64,
    pub(crate) outcome: Outcome,
    /// The count after the call, in weighted units; only meaningful after a success.
    pub(crate) total: f64,
    /// Time since the call was made.
    pub(crate) elapsed_ms: Millis,
}

/// The effect of a charge on the count, as far as the reply shows it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ChargeResult {
    /// The charge was added to the count; `total` is the count after that, in weighted units.
    Counted { total: f64 },
    /// The counter cannot have counted the charge.
    NotCounted,
    /// The counter may have counted the charge: the call timed out or was interrupted, or the response was invalid.
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

    /// The total after the call, if the counter returned a finite one.
    pub(crate) fn valid_total(&self) -> Option<f64> {
        (self.outcome == Outcome::Success && self.total.is_finite()).then_some(self.total)
    }
}

/// The charges whose calls are in flight, by counter key. Replies to calls with the same key arrive in the order of the
/// calls.
#[derive(Default)]
pub(crate) struct PendingCharges(BTreeMap<u64, VecDeque<PendingCharge>>);

impl PendingCharges {
    pub(crate) fn push(&mut self, key: u64, pending: PendingCharge) {
        self.0.entry(key).or_default().push_back(pending);
    }

    /// Removes and returns the oldest charge with this key.
    pub(crate) fn pop(&mut self, key: u64) -> Option<PendingCharge> {
        let queue = self.0.get_mut(&key)?;
        let oldest = queue.pop_front();
        if queue.is_empty() {
            self.0.remove(&key);
        }
        oldest
    }
}

/// Number of low bits of a counter key that hold the window's number. The remaining bits hold the customer's id.
const WINDOW_BITS: u32 = 30;

/// The key under which the shared counter keeps a customer's usage in one window.
pub(crate) fn counter_key(customer: CustomerId, window: u64) -> u64 {
    customer << WINDOW_BITS | window & ((1 << WINDOW_BITS) - 1)
}
