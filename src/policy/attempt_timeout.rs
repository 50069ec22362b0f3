//! The timeout of one attempt.
//!
//! An attempt may usually take until its client gives up. The attempt ends shortly before the latency
//! objective instead if two conditions hold: a response after the objective has no value, and a request that
//! ends unserved after its objective costs more than wasted work. An early end wastes work, as the endpoint
//! completes the request all the same.

use crate::api::{Millis, Prices};

/// Time by which an early timeout precedes the latency objective, in ms, so that the final response arrives
/// in time.
const EARLY_TIMEOUT_MARGIN_MS: Millis = 4.0;
/// Number of ticks by which an early timeout precedes the latency objective in addition. A tick is the
/// shortest time between two calls of the library: one may pass before the timeout is noticed, and one
/// before the response is given.
const EARLY_TIMEOUT_MARGIN_TICKS: f64 = 2.0;
/// The shortest early timeout, in ms. It applies to attempts that are sent so late that their early timeout
/// would have passed, as the rules for sending attempts (`retry`) don't consider the early timeout.
const MIN_EARLY_TIMEOUT_MS: Millis = 1.0;

/// Inputs of the timeout of an attempt. Times and durations are in ms.
pub(super) struct TimeoutInputs<'a> {
    /// Time at which the attempt starts.
    pub(super) now: Millis,
    /// Time at which the client gives up.
    pub(super) deadline: Millis,
    /// Time after which a response misses the latency objective.
    pub(super) objective_deadline: Millis,
    /// Share of its value that a response keeps after the latency objective.
    pub(super) late_value_share: f64,
    pub(super) prices: &'a Prices,
    /// Shortest time between two calls of the library.
    pub(super) tick_ms: Millis,
}

/// Returns the time that an attempt which starts now may take, in ms.
pub(super) fn attempt_timeout(inputs: &TimeoutInputs) -> Millis {
    let remaining_ms = inputs.deadline - inputs.now;
    if inputs.late_value_share > 0.0 || inputs.prices.waste >= inputs.prices.late_failure {
        return remaining_ms;
    }
    let objective_ms = inputs.objective_deadline - inputs.now;
    let early_ms =
        objective_ms - EARLY_TIMEOUT_MARGIN_MS - EARLY_TIMEOUT_MARGIN_TICKS * inputs.tick_ms;
    remaining_ms.min(early_ms.max(MIN_EARLY_TIMEOUT_MS))
}

#[cfg(test)]
mod tests;
