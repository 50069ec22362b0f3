//! Enforces the rules on sending, at the two points before data leaves this process.
//!
//! The library decides whether a request may be sent, and sent again: the rule is in `src/policy/retry.rs`. The
//! functions here make no decisions of their own. They check that decision against state that only the program knows,
//! as time passes between the decision and the write:
//!
//! - `enforce_before_start`: before the task of an attempt starts
//! - `enforce_before_write`: right before the first byte of an attempt
//!
//! `rule_checks` verifies afterwards that both checks worked.

use super::registered_request::RequestRecord;
use crate::socket::PeekResult;
use crate::upstream::Instance;
use quota_gateway::Outcome;
use std::time::Duration;
use tokio::time::Instant;

#[cfg(test)]
mod tests;

/// Limits on the attempts of one request, applied whatever the library asks for.
pub struct AttemptLimits {
    /// Maximum number of attempts of one request.
    pub max_attempts: usize,
    /// True if two attempts of one request may be in flight at once.
    pub hedging: bool,
}

/// An attempt that the library requested, and the state of its request.
pub struct AttemptToStart {
    /// True if the request has its final response, or its client has disconnected.
    pub request_closed: bool,
    /// Number of earlier attempts, including attempts that were never sent.
    pub earlier_attempts: usize,
    /// True if one of the earlier attempts is still in flight.
    pub attempt_in_flight: bool,
    /// Time until the deadline of the attempt.
    pub time_left: Duration,
    /// Current process of the endpoint; `None` if the endpoint is no longer listed.
    pub instance: Option<Instance>,
}

/// The reason why an attempt is not started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartRefusal {
    /// The request has its final response, or its client has disconnected.
    RequestClosed,
    /// The deadline of the attempt has passed.
    DeadlineExceeded,
    /// The request has had as many attempts as the settings allow.
    AttemptLimitReached,
    /// Another attempt is in flight, and the settings allow no hedging.
    AttemptInFlight,
    /// The endpoint has been removed.
    EndpointRemoved,
}

/// The reason why an attempt is not written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteRefusal {
    /// The request has its final response, or its client has disconnected.
    RequestClosed,
    /// The client has closed its side of the connection, or the connection broke.
    ClientDisconnected,
    /// The request may have been executed and must not be executed twice.
    MayHaveExecuted,
    /// The process exits before a response could arrive.
    ShuttingDown,
    /// The deadline for the first byte has passed: the endpoint may no longer know the idempotency key, and could
    /// execute the request a second time.
    RetryWindowOver,
    /// The endpoint is draining or was removed.
    EndpointNotReady,
    /// The endpoint has another address, or was started again.
    EndpointMoved,
}

/// The state of an attempt right before its first byte.
pub struct AttemptToWrite {
    /// The attempt's request; `None` if the request is no longer open.
    pub record: Option<RequestRecord>,
    /// Result of the last peek into the client's socket.
    pub client_peek: PeekResult,
    /// True if enough time is left for a response before the process exits.
    pub process_may_forward: bool,
    /// The first byte must not be written after this time.
    pub start_deadline: Instant,
    /// The current time.
    pub now: Instant,
    /// True if the endpoint accepts new requests.
    pub endpoint_is_ready: bool,
    /// Current process of the endpoint; `None` if the endpoint is no longer listed.
    pub instance: Option<Instance>,
    /// The process to which the connection was established.
    pub connected_instance: Instance,
}

/// Refuses to start an attempt that must not be sent; otherwise returns the process of its endpoint.
///
/// Guards against a library whose view of the request differs from the registry's: an event that is still queued may
/// have answered the request, the deadline may have passed since the library was given the time, and a fault of the
/// library may request one attempt too many. The attempt would be executed although no client waits for its response,
/// or concurrently with another attempt. The check holds because only the registry gives final responses and counts
/// attempts, and because nothing else runs between this check and the registration of the attempt.
pub fn enforce_before_start(
    limits: &AttemptLimits,
    attempt: &AttemptToStart,
) -> Result<Instance, StartRefusal> {
    if attempt.request_closed {
        return Err(StartRefusal::RequestClosed);
    }
    if attempt.time_left.is_zero() {
        return Err(StartRefusal::DeadlineExceeded);
    }
    if attempt.earlier_attempts >= limits.max_attempts {
        return Err(StartRefusal::AttemptLimitReached);
    }
    if attempt.attempt_in_flight && !limits.hedging {
        return Err(StartRefusal::AttemptInFlight);
    }
    attempt.instance.ok_or(StartRefusal::EndpointRemoved)
}

/// Refuses to write an attempt that must not be sent.
///
/// Guards against changes that occur while the pool finds a connection, which takes up to the connect timeout: the
/// client disconnects, an earlier attempt turns out to have been executed, the process begins to shut down, the retry
/// window of the idempotency key closes, or the endpoint drains, is removed, moves or is started again. The request would be executed
/// although no client waits for its response, executed twice, cut off when the process exits, or sent to an endpoint
/// that must get no more requests. The check holds because it runs on the thread of all tasks, right before the first
/// byte, and again whenever the write of that byte has to wait.
pub fn enforce_before_write(attempt: &AttemptToWrite) -> Result<(), WriteRefusal> {
    let record = attempt.record.filter(|record| record.ended_at.is_none());
    let record = record.ok_or(WriteRefusal::RequestClosed)?;
    if attempt.client_peek == PeekResult::EndOfStream {
        return Err(WriteRefusal::ClientDisconnected);
    }
    if record.must_not_retry {
        return Err(WriteRefusal::MayHaveExecuted);
    }
    if !attempt.process_may_forward {
        return Err(WriteRefusal::ShuttingDown);
    }
    if attempt.now >= attempt.start_deadline {
        return Err(WriteRefusal::RetryWindowOver);
    }
    if !attempt.endpoint_is_ready {
        return Err(WriteRefusal::EndpointNotReady);
    }
    if attempt.instance != Some(attempt.connected_instance) {
        return Err(WriteRefusal::EndpointMoved);
    }
    Ok(())
}

/// The outcome of a refused attempt, in the library's terms. A refusal that concerns only the endpoint counts as
/// rejected, because another endpoint may be tried.
pub fn refusal_outcome(refusal: WriteRefusal) -> Outcome {
    match refusal {
        WriteRefusal::RequestClosed
        | WriteRefusal::ClientDisconnected
        | WriteRefusal::RetryWindowOver
        | WriteRefusal::MayHaveExecuted
        | WriteRefusal::ShuttingDown => Outcome::NotSent,
        WriteRefusal::EndpointNotReady | WriteRefusal::EndpointMoved => Outcome::Rejected,
    }
}
