//! The response to a request that no endpoint has served: rejected or failed, with advice on when to retry.
//!
//! A rejection promises that the client may safely send the request again, so each one states a
//! [`RetrySafety`]. Any other request fails: its client has to find out for itself whether the request was
//! executed.

use crate::api::{Action, Idempotency, KeyScope, Limits, Millis, RequestId};
use crate::policy::admission::RejectReason;
use crate::policy::retry::{AttemptDenial, RetryDenial};
use crate::state::InvalidRequest;

/// Retry-After for a request that found no endpoint or whose attempts failed or were denied, as a share of
/// the latency objective.
const RETRY_AFTER_SHARE: f64 = 0.5;
/// Value of a Retry-After that gives no advice.
const NO_ADVICE_MS: Millis = 0.0;

/// Reason for which a request ends without being served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EndReason {
    /// The request was not admitted.
    Rejected(RejectReason),
    /// No endpoint accepts the request.
    NoEndpoint,
    /// An endpoint was available, but the attempt was denied.
    AttemptDenied(AttemptDenial),
    /// The request's last attempt ended without a response to the client, and a retry was denied.
    RetryDenied(RetryDenial),
}

/// Inputs of the decision on the response. Durations are in ms.
pub(super) struct ResponseInputs<'a> {
    pub(super) reason: EndReason,
    pub(super) idempotency: Idempotency,
    /// True if an attempt has ended that may have been executed, or is in flight.
    pub(super) may_have_executed: bool,
    /// Time until the customer's quota may have the request's units again.
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
        /// Time after which the client should send the request again, in ms; 0 for no advice.
        retry_after_ms: Millis,
    },
    /// The request may have been executed, and a retry could reach an endpoint that executes it again.
    Failed,
}

/// Reason for which a client may safely send a request again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RetrySafety {
    /// The request may be executed any number of times.
    Idempotent,
    /// Any endpoint that the request reaches next recognises its idempotency key.
    KeyKnownEverywhere,
    /// No endpoint can have executed the request.
    NeverExecuted,
}

impl UnservedResponse {
    /// Returns the response to an invalid request. The response has no advice, as a retry would be rejected
    /// as well.
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

    /// Returns the action that sends the response.
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

/// Returns the reason for which the client may safely send the request again; none if a retry is not safe.
fn retry_safety(idempotency: Idempotency, may_have_executed: bool) -> Option<RetrySafety> {
    match idempotency {
        Idempotency::Idempotent => Some(RetrySafety::Idempotent),
        Idempotency::WithKey {
            scope: KeyScope::All,
            ..
        } => Some(RetrySafety::KeyKnownEverywhere),
        // The client's retry may reach an endpoint outside the scope of the key.
        Idempotency::WithKey { .. } | Idempotency::NotIdempotent => {
            (!may_have_executed).then_some(RetrySafety::NeverExecuted)
        }
    }
}

/// Returns the time after which the client should retry, in ms, limited to what clients follow; 0 if advice
/// is turned off.
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
