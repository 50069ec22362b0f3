//! Whether a request may be sent, and sent again, and until when.
//!
//! There are two questions. After an attempt without a response, [`decide_retry`] says whether another one is
//! safe and worth while. Then, as before a first attempt, [`decide_attempt`] says whether the limits of the
//! request permit an attempt now, and until when its first byte may be written.
//!
//! This is the rule. The program's `driver::enforcement` enforces it when an attempt starts and right
//! before its first byte, as time passes and endpoints change after the decision.

use crate::api::{Idempotency, Millis, Outcome};
use crate::primitives::token_bucket::TokenBucket;

/// Retries allowed for each first attempt.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Unused retries saved up at most.
const MAX_SAVED_RETRIES: f64 = 10.0;
/// What one retry takes from the budget.
const RETRY_COST: f64 = 1.0;
/// The program may stall for this long, in ms, between its last look at the clock and the first byte of an
/// attempt. A retry that relies on an idempotency key must start this long before the key's window ends. The
/// same stall is `MAX_STALL` in the program's `lifecycle::timeline` and `STALL_TOLERANCE` in its
/// `driver::rule_checks`: the three change together.
const MAX_WRITE_DELAY_MS: Millis = 150.0;

/// Limits retries to a share of the first attempts, so that a fleet that fails is not loaded further by them.
pub(super) struct RetryBudget {
    retries: TokenBucket,
}

impl RetryBudget {
    /// A full budget.
    pub(super) fn new() -> Self {
        RetryBudget {
            retries: TokenBucket::new(MAX_SAVED_RETRIES),
        }
    }

    /// The action that sends a request's first attempt is queued. The program may still not send it.
    pub(super) fn deposit(&mut self) {
        self.retries.refill(RETRIES_PER_REQUEST, MAX_SAVED_RETRIES);
    }

    /// Whether a retry is left.
    pub(super) fn has_retry(&self) -> bool {
        self.retries.has(RETRY_COST)
    }

    /// Pays for a retry.
    pub(super) fn withdraw(&mut self) {
        self.retries.take(RETRY_COST);
    }
}

/// What the decision on a retry rests on. Moments and spans are in ms.
pub(super) struct RetryInputs {
    pub(super) now: Millis,
    /// How the request's last attempt ended; no other one is in flight.
    pub(super) outcome: Outcome,
    /// Part of a response has been passed on to the client.
    pub(super) response_started: bool,
    /// When the client gives up.
    pub(super) deadline: Millis,
    /// A response after this misses the latency objective.
    pub(super) objective_deadline: Millis,
    /// Latency of the request's class at an idle endpoint: the least that a retry takes.
    pub(super) baseline_latency_ms: Millis,
    /// Share of its value that a response after the latency objective still has.
    pub(super) late_weight: f64,
    pub(super) idempotency: Idempotency,
    /// The retry budget has a retry left.
    pub(super) budget_has_retry: bool,
}

/// Whether a request is retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RetryDecision {
    /// It is retried, if an endpoint is there and [`decide_attempt`] permits it.
    Allowed {
        /// The retry is paid for from the budget.
        uses_budget: bool,
    },
    /// It is not.
    Denied(RetryDenial),
}

/// Why a request is not retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RetryDenial {
    /// The attempt was not sent. In most cases the program refused it, as the request had ended, the client
    /// had disconnected or the process shuts down, and would refuse another one as well.
    NotSent,
    /// The client has part of a response already.
    ResponseStarted,
    /// The client no longer waits.
    DeadlinePassed,
    /// Even an idle endpoint would respond after the latency objective, when a response has no value.
    PastObjective,
    /// The attempt may have been executed, and the request must be executed once at most.
    MayHaveExecuted,
    /// Too many requests were retried lately.
    BudgetExhausted,
}

/// Decides whether a request is retried after an attempt without a response.
pub(super) fn decide_retry(inputs: &RetryInputs) -> RetryDecision {
    if inputs.outcome == Outcome::NotSent {
        return RetryDecision::Denied(RetryDenial::NotSent);
    }
    if inputs.response_started {
        return RetryDecision::Denied(RetryDenial::ResponseStarted);
    }
    if inputs.deadline <= inputs.now {
        return RetryDecision::Denied(RetryDenial::DeadlinePassed);
    }
    let earliest_response = inputs.now + inputs.baseline_latency_ms;
    if inputs.late_weight <= 0.0 && earliest_response >= inputs.objective_deadline {
        return RetryDecision::Denied(RetryDenial::PastObjective);
    }
    if inputs.outcome.never_executed() {
        return RetryDecision::Allowed { uses_budget: false };
    }
    if inputs.idempotency == Idempotency::NotIdempotent {
        return RetryDecision::Denied(RetryDenial::MayHaveExecuted);
    }
    if !inputs.budget_has_retry {
        return RetryDecision::Denied(RetryDenial::BudgetExhausted);
    }
    // An attempt that the gateway cancelled itself is no failure of the fleet. The program only cancels
    // attempts of requests that have ended, so that none of them comes here.
    RetryDecision::Allowed {
        uses_budget: inputs.outcome != Outcome::Cancelled,
    }
}

/// What the decision on an attempt rests on. Moments are in ms.
pub(super) struct AttemptInputs {
    pub(super) now: Millis,
    /// When the client gives up.
    pub(super) deadline: Millis,
    /// Attempts of the request so far.
    pub(super) attempts: u32,
    /// Most attempts of one request; the first is always permitted.
    pub(super) max_attempts: u32,
    pub(super) idempotency: Idempotency,
    /// When the attempt started that was the first to end with an outcome that doesn't exclude execution;
    /// none if no attempt has ended so.
    pub(super) first_execution_at: Option<Millis>,
    /// The customer's hard ceiling, if there is one, has the request's units left.
    pub(super) fits_ceiling: bool,
}

/// Whether an attempt, the first one or a retry, may be sent now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum AttemptDecision {
    /// It may.
    Allowed {
        /// Time within which its first byte has to be written, in ms; infinite if it executes nothing twice.
        start_timeout_ms: Millis,
    },
    /// It may not.
    Denied(AttemptDenial),
}

/// Why an attempt may not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptDenial {
    /// The client no longer waits.
    DeadlinePassed,
    /// The request has had as many attempts as it may have.
    AttemptsExhausted,
    /// The endpoints no longer recognise the idempotency key, so the request could be executed twice.
    KeyWindowOver,
    /// The first attempt would exceed the customer's hard ceiling.
    CeilingReached,
}

/// Decides whether the request may be sent to an endpoint now.
pub(super) fn decide_attempt(inputs: &AttemptInputs) -> AttemptDecision {
    if inputs.deadline <= inputs.now {
        return AttemptDecision::Denied(AttemptDenial::DeadlinePassed);
    }
    if inputs.attempts >= inputs.max_attempts.max(1) {
        return AttemptDecision::Denied(AttemptDenial::AttemptsExhausted);
    }
    let start_timeout_ms = start_timeout(inputs);
    if start_timeout_ms <= 0.0 {
        return AttemptDecision::Denied(AttemptDenial::KeyWindowOver);
    }
    // The first attempt took the units for all of them.
    if inputs.attempts == 0 && !inputs.fits_ceiling {
        return AttemptDecision::Denied(AttemptDenial::CeilingReached);
    }
    AttemptDecision::Allowed { start_timeout_ms }
}

/// Time in which another attempt may be written, in ms: an endpoint recognises a retry only within the key's
/// window, which begins with the attempt of `first_execution_at`. Infinite without one.
fn start_timeout(inputs: &AttemptInputs) -> Millis {
    match (inputs.idempotency, inputs.first_execution_at) {
        (Idempotency::WithKey { window_ms, .. }, Some(first_execution_at)) => {
            first_execution_at + window_ms - MAX_WRITE_DELAY_MS - inputs.now
        }
        _ => f64::INFINITY,
    }
}

#[cfg(test)]
mod tests;
