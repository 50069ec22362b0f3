//! Rules for retries and for the start of each attempt.
//!
//! After an attempt that ended without a response to the client, [`decide_retry`] decides whether another
//! attempt is safe and worthwhile. Before any attempt, the first one included, [`decide_attempt`] decides
//! whether the limits of the request permit an attempt now, and until when its first byte may be written.
//!
//! Time passes and endpoints change between a decision and the attempt. The program's `driver::enforcement`
//! therefore enforces the same rules again when an attempt starts and right before its first byte.

use crate::api::{Idempotency, Millis, Outcome};
use crate::primitives::token_bucket::TokenBucket;

/// Retries added to the budget by each first attempt.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Maximum number of unused retries in the budget.
const MAX_SAVED_RETRIES: f64 = 10.0;
/// Tokens that one retry consumes.
const RETRY_COST: f64 = 1.0;
/// Longest assumed stall of the program between its last reading of the clock and the first byte of an
/// attempt, in ms. A retry that relies on an idempotency key must start this long before the key's window
/// ends. The same stall is `MAX_STALL` in the program's `lifecycle::timeline` and `STALL_TOLERANCE` in its
/// `driver::rule_checks`: change all three together.
const MAX_WRITE_DELAY_MS: Millis = 150.0;

/// Limits retries to a share of the first attempts, so that retries don't add much load to a failing fleet.
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

    /// Adds the share of one first attempt to the budget. The caller has queued the action that sends the
    /// attempt; the program may still not send it.
    pub(super) fn deposit(&mut self) {
        self.retries
            .add_tokens(RETRIES_PER_REQUEST, MAX_SAVED_RETRIES);
    }

    /// Returns whether a retry is left.
    pub(super) fn has_retry(&self) -> bool {
        self.retries.has_tokens(RETRY_COST)
    }

    /// Withdraws one retry from the budget.
    pub(super) fn withdraw(&mut self) {
        self.retries.consume_tokens(RETRY_COST);
    }
}

/// Inputs of the decision on a retry. Times and durations are in ms.
pub(super) struct RetryInputs {
    pub(super) now: Millis,
    /// Outcome of the request's last attempt; no other attempt is in flight.
    pub(super) outcome: Outcome,
    /// True if part of a response has been passed on to the client.
    pub(super) response_started: bool,
    /// Time at which the client gives up.
    pub(super) deadline: Millis,
    /// Time after which a response misses the latency objective.
    pub(super) objective_deadline: Millis,
    /// Latency of the request's class at an idle endpoint: the shortest expected duration of a retry.
    pub(super) baseline_latency_ms: Millis,
    /// Share of its value that a response keeps after the latency objective.
    pub(super) late_value_share: f64,
    pub(super) idempotency: Idempotency,
    /// True if the retry budget has a retry left.
    pub(super) budget_has_retry: bool,
}

/// The decision on a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RetryDecision {
    /// The request is retried if an endpoint is available and [`decide_attempt`] permits the attempt.
    Allowed {
        /// True if the retry is taken from the retry budget.
        uses_budget: bool,
    },
    /// The request is not retried.
    Denied(RetryDenial),
}

/// Reason for which a request is not retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RetryDenial {
    /// The attempt was not sent. In most cases the program refused it because the request had ended, the
    /// client had disconnected or the process was shutting down; it would refuse another attempt as well.
    NotSent,
    /// Part of a response has been passed on to the client already.
    ResponseStarted,
    /// The client's deadline has passed.
    DeadlinePassed,
    /// Even an idle endpoint would respond after the latency objective, and a late response has no value.
    PastObjective,
    /// The attempt may have been executed, and the request must be executed at most once.
    MayHaveExecuted,
    /// The retry budget is used up: too many requests were retried recently.
    BudgetExhausted,
}

/// Decides whether a request is retried after an attempt that ended without a response to the client.
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
    if inputs.late_value_share <= 0.0 && earliest_response >= inputs.objective_deadline {
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
    // An attempt cancelled by the gateway itself is no failure of the fleet. The program only cancels
    // attempts of requests that have ended, so this function never receives one from it.
    RetryDecision::Allowed {
        uses_budget: inputs.outcome != Outcome::Cancelled,
    }
}

/// Inputs of the decision on an attempt. Times are in ms.
pub(super) struct AttemptInputs {
    pub(super) now: Millis,
    /// Time at which the client gives up.
    pub(super) deadline: Millis,
    /// Number of the request's attempts so far.
    pub(super) attempts: u32,
    /// Maximum number of attempts of one request; the first attempt is always permitted.
    pub(super) max_attempts: u32,
    pub(super) idempotency: Idempotency,
    /// Start time of the attempt that was the first to end with an outcome that doesn't exclude execution;
    /// none if no attempt has ended in this way.
    pub(super) first_possible_execution_at: Option<Millis>,
    /// True if the customer has no hard ceiling or the ceiling has the request's units left.
    pub(super) is_within_ceiling: bool,
}

/// The decision on an attempt, either the first one or a retry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum AttemptDecision {
    /// The attempt may be sent.
    Allowed {
        /// Time within which the first byte of the attempt has to be written, in ms; infinite if no key's
        /// window limits the start.
        start_timeout_ms: Millis,
    },
    /// The attempt must not be sent.
    Denied(AttemptDenial),
}

/// Reason for which an attempt must not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptDenial {
    /// The client's deadline has passed.
    DeadlinePassed,
    /// The request has had its maximum number of attempts.
    AttemptsExhausted,
    /// The endpoints no longer recognise the idempotency key, so the request could be executed twice.
    KeyWindowExpired,
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
        return AttemptDecision::Denied(AttemptDenial::KeyWindowExpired);
    }
    // The first attempt took the units from the ceiling for all attempts of the request.
    if inputs.attempts == 0 && !inputs.is_within_ceiling {
        return AttemptDecision::Denied(AttemptDenial::CeilingReached);
    }
    AttemptDecision::Allowed { start_timeout_ms }
}

/// Returns the time within which the attempt has to be written, in ms. An endpoint recognises a retry only
/// within the key's window, which begins with the attempt of `first_possible_execution_at`; the time is
/// infinite without such an attempt.
fn start_timeout(inputs: &AttemptInputs) -> Millis {
    match (inputs.idempotency, inputs.first_possible_execution_at) {
        (Idempotency::WithKey { window_ms, .. }, Some(first_possible_execution_at)) => {
            first_possible_execution_at + window_ms - MAX_WRITE_DELAY_MS - inputs.now
        }
        _ => f64::INFINITY,
    }
}

#[cfg(test)]
mod tests;
