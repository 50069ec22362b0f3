//! What a client gets whose request no endpoint has served: rejected or failed, and when to try again.
//!
//! A rejection promises that the client may safely send the request again, so it needs a [`RetrySafety`]. Any
//! other request has failed: its client has to find out for itself whether it was executed.

use crate::api::{Action, Idempotency, KeyScope, Limits, Millis, RequestId};
use crate::policy::admission::RejectReason;
use crate::policy::retry::{AttemptDenial, RetryDenial};
use crate::state::InvalidRequest;

/// Advice to a client whose request found no endpoint or failed, as a share of the latency objective.
const RETRY_AFTER_SHARE: f64 = 0.5;
/// A rejection without advice on when to try again.
const NO_ADVICE_MS: Millis = 0.0;

/// Why a request ends that no endpoint has served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EndReason {
    /// It was not admitted.
    Rejected(RejectReason),
    /// No endpoint takes it.
    NoEndpoint,
    /// An endpoint was there, but the request may not be sent.
    AttemptDenied(AttemptDenial),
    /// Its last attempt was without a response, and it is not retried.
    RetryDenied(RetryDenial),
}

/// What the response rests on. Spans are in ms.
pub(super) struct ResponseInputs<'a> {
    pub(super) reason: EndReason,
    pub(super) idempotency: Idempotency,
    /// An attempt has ended that may have been executed, or is in flight.
    pub(super) may_have_executed: bool,
    /// When the customer's quota may have the request's units again.
    pub(super) quota_retry_after_ms: Millis,
    /// Latency of the request's class at an idle endpoint.
    pub(super) baseline_latency_ms: Millis,
    /// Latency objective of the request's class.
    pub(super) latency_objective_ms: Millis,
    pub(super) limits: &'a Limits,
}

/// The response to a request that no endpoint has served.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum UnservedResponse {
    /// The client may safely send the request again.
    Rejected {
        safety: RetrySafety,
        /// When the client should do so, in ms from now; 0 for no advice.
        retry_after_ms: Millis,
    },
    /// The request may have been executed, and a retry could come to an endpoint that executes it again.
    Failed,
}

/// Why a client may safely send a request again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RetrySafety {
    /// The request may be executed any number of times.
    Idempotent,
    /// Whichever endpoint the request comes to next recognises its idempotency key.
    KeyKnownEverywhere,
    /// No endpoint can have executed it.
    NeverExecuted,
}

impl UnservedResponse {
    /// The response to an invalid request. There is no advice, as a retry would be rejected as well.
    pub(super) fn invalid(reason: InvalidRequest) -> Self {
        match reason {
            InvalidRequest::UnknownClass
            | InvalidRequest::UnknownPlan
            | InvalidRequest::NoTimeLeft => UnservedResponse::Rejected {
                safety: RetrySafety::NeverExecuted,
                retry_after_ms: NO_ADVICE_MS,
            },
        }
    }

    /// The action that gives the response.
    pub(super) fn action(self, id: RequestId) -> Action {
        match self {
            UnservedResponse::Rejected { retry_after_ms, .. } => {
                Action::Reject { id, retry_after_ms }
            }
            UnservedResponse::Failed => Action::Fail { id },
        }
    }
}

/// Decides on the response to a request that no endpoint has served.
pub(super) fn decide_response(inputs: &ResponseInputs) -> UnservedResponse {
    match retry_safety(inputs.idempotency, inputs.may_have_executed) {
        Some(safety) => UnservedResponse::Rejected {
            safety,
            retry_after_ms: retry_after(inputs),
        },
        None => UnservedResponse::Failed,
    }
}

/// Why the client may safely send the request again; none if it may not.
fn retry_safety(idempotency: Idempotency, may_have_executed: bool) -> Option<RetrySafety> {
    match idempotency {
        Idempotency::Idempotent => Some(RetrySafety::Idempotent),
        Idempotency::WithKey {
            scope: KeyScope::All,
            ..
        } => Some(RetrySafety::KeyKnownEverywhere),
        // The client's retry may come to an endpoint outside the scope of the key.
        Idempotency::WithKey { .. } | Idempotency::NotIdempotent => {
            (!may_have_executed).then_some(RetrySafety::NeverExecuted)
        }
    }
}

/// When the client should try again, in ms, as far as clients may be advised and follow.
fn retry_after(inputs: &ResponseInputs) -> Millis {
    if !inputs.limits.retry_after {
        return NO_ADVICE_MS;
    }
    let retry_after_ms = match inputs.reason {
        EndReason::Rejected(RejectReason::OverLimit(_)) => inputs.quota_retry_after_ms,
        EndReason::Rejected(RejectReason::Overloaded) => inputs.baseline_latency_ms,
        EndReason::NoEndpoint | EndReason::AttemptDenied(_) | EndReason::RetryDenied(_) => {
            inputs.latency_objective_ms * RETRY_AFTER_SHARE
        }
    };
    retry_after_ms.clamp(0.0, inputs.limits.max_retry_after_ms.max(0.0))
}

#[cfg(test)]
mod tests;
