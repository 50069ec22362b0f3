//! The protocol of the shared counter: each call adds an amount to the total of a key.

use std::collections::HashMap;

/// A call that adds an amount to the total of a key.
#[derive(Clone, Debug, PartialEq)]
pub struct CounterCall {
    /// The path of the request, which identifies the total.
    pub key: String,
    /// Units to add; may be negative.
    pub amount: f64,
}

impl CounterCall {
    /// Parses a request target such as `/counters/000000000000002a?by=2&expire_ms=900`. Returns `None` if the parameter
    /// `by` is missing or is not a number.
    #[must_use]
    pub fn parse(target: &str) -> Option<Self> {
        let (key, query) = target.split_once('?')?;
        let amount = query
            .split('&')
            .find_map(|parameter| parameter.strip_prefix("by="))?;
        Some(CounterCall {
            key: key.to_owned(),
            amount: amount.parse().ok()?,
        })
    }
}

/// The totals of all keys, in units. Totals never expire: `expire_ms` is ignored.
#[derive(Debug, Default)]
pub struct CounterTotals {
    by_key: HashMap<String, f64>,
}

impl CounterTotals {
    /// Adds the amount of a call. Returns the new total in the format of the counter, with three decimals.
    pub fn add(&mut self, call: &CounterCall) -> String {
        let total = self.by_key.entry(call.key.clone()).or_default();
        *total += call.amount;
        format!("{total:.3}")
    }
}

#[cfg(test)]
mod tests;
