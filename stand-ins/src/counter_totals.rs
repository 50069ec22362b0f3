//! The shared counter without its sockets: calls that add to totals by key.

use std::collections::HashMap;

/// One call: add an amount to the total of a key.
#[derive(Clone, Debug, PartialEq)]
pub struct CounterCall {
    /// The path of the request, which names the total.
    pub key: String,
    /// Units to add.
    pub amount: f64,
}

impl CounterCall {
    /// Reads a request's target, such as `/counters/000000000000002a?by=2&expire_ms=900`; none without an amount.
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

/// The totals of all keys, in units. They never expire.
#[derive(Debug, Default)]
pub struct CounterTotals {
    by_key: HashMap<String, f64>,
}

impl CounterTotals {
    /// Carries out a call. Returns the total after it as the counter writes it, with three decimals.
    pub fn add(&mut self, call: &CounterCall) -> String {
        let total = self.by_key.entry(call.key.clone()).or_default();
        *total += call.amount;
        format!("{total:.3}")
    }
}

#[cfg(test)]
mod tests;
