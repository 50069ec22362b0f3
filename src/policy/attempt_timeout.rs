//! How long one attempt may take.
//!
//! Usually until its client gives up. It ends shortly before the latency objective instead where a response
//! after that has no value, and where a request that ends unserved after its objective costs more than wasted
//! work: the endpoint does the work all the same.

use crate::api::{Millis, Prices};

/// An early time-out comes this long before the latency objective, in ms, for the final response to be in
/// time.
const EARLY_TIMEOUT_MARGIN_MS: Millis = 4.0;
/// An early time-out comes earlier by this many ticks, the shortest time between two calls of the library:
/// one may pass before the time-out is noticed, and one before the response is given.
const EARLY_TIMEOUT_MARGIN_TICKS: f64 = 2.0;
/// The shortest early time-out, in ms. An attempt is sent even if its early time-out would have passed: what
/// permits attempts (`retry`) doesn't look at the early time-out.
const MIN_EARLY_TIMEOUT_MS: Millis = 1.0;

/// What the time-out of an attempt rests on. Moments and spans are in ms.
pub(super) struct TimeoutInputs<'a> {
    /// When the attempt starts.
    pub(super) now: Millis,
    /// When the client gives up.
    pub(super) deadline: Millis,
    /// A response after this misses the latency objective.
    pub(super) objective_deadline: Millis,
    /// Share of its value that a response after the latency objective still has.
    pub(super) late_weight: f64,
    pub(super) prices: &'a Prices,
    /// Shortest time between two calls of the library.
    pub(super) tick_ms: Millis,
}

/// How long an attempt that starts now may take, in ms.
pub(super) fn attempt_timeout(inputs: &TimeoutInputs) -> Millis {
    let remaining_ms = inputs.deadline - inputs.now;
    if inputs.late_weight > 0.0 || inputs.prices.waste >= inputs.prices.late_failure {
        return remaining_ms;
    }
    let objective_ms = inputs.objective_deadline - inputs.now;
    let early_ms =
        objective_ms - EARLY_TIMEOUT_MARGIN_MS - EARLY_TIMEOUT_MARGIN_TICKS * inputs.tick_ms;
    remaining_ms.min(early_ms.max(MIN_EARLY_TIMEOUT_MS))
}

#[cfg(test)]
mod tests;
