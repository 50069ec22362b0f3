//! Calls to the shared counter.

use crate::api::{CustomerId, RequestId};

/// A call to the counter whose answer is out.
pub(crate) struct CounterCall {
    pub(crate) customer: CustomerId,
    pub(crate) request: RequestId,
    pub(crate) plan: usize,
    pub(crate) amount: f64,
    pub(crate) units: f64,
}

/// Bits of a counter key that tell a customer's windows apart; the rest is the customer's number.
const WINDOW_BITS: u32 = 30;

/// The key under which the shared counter holds a customer's use in one window.
pub(crate) fn counter_key(customer: CustomerId, window: u64) -> u64 {
    customer << WINDOW_BITS | window & ((1 << WINDOW_BITS) - 1)
}
