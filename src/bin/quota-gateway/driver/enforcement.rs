//! Enforcement of the rules on sending, at the two moments before something leaves this process.
//!
//! Whether a request may be sent, and sent again, is decided by the library: the rule is in `src/policy/retry.rs`. The
//! functions here decide nothing of their own. They hold that decision against what only the program knows, as time
//! passes between the decision and the write:
//!
//! - `enforce_before_start`: before the task of an attempt starts
//! - `enforce_before_write`: right before the first byte of an attempt
//!
//! `rule_checks` verifies afterwards that both did their work.

use super::registered_request::RequestRecord;
use crate::socket::PeekResult;
use quota_gateway::Outcome;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

#[cfg(test)]
mod tests;

/// Limits on what is sent for one request, whatever the library asks for.
pub struct AttemptLimits {
    /// Attempts of one request.
    pub max_attempts: usize,
    /// Two attempts of one request may be in flight at once.
    pub hedging: bool,
}

/// An attempt that the library has requested, and the state of its request.
pub struct AttemptToStart {
    /// The request has its final response, or its client has disconnected.
    pub request_closed: bool,
    /// Attempts made before, those included that were never sent.
    pub earlier_attempts: usize,
    /// One of them is still in flight.
    pub attempt_in_flight: bool,
    /// Until the deadline of the attempt.
    pub time_left: Duration,
    /// The present address of the endpoint; none if it is no longer listed.
    pub endpoint_addr: Option<SocketAddr>,
}

/// Why an attempt is not started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartRefusal {
    /// The request has its final response, or its client disconnected.
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

/// Why an attempt is not written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteRefusal {
    /// The request has its final response, or its client has disconnected.
    RequestClosed,
    /// The client has closed its side, or its connection broke.
    ClientDisconnected,
    /// The request may have been executed and must not be executed twice.
    MayHaveExecuted,
    /// The process ends before a response could arrive.
    ShuttingDown,
    /// The deadline for the first byte has passed: the endpoint may no longer know the idempotency key, and could execute
    /// the request a second time.
    RetryWindowOver,
    /// The endpoint is draining or was removed.
    EndpointNotReady,
    /// The endpoint has another address.
    EndpointMoved,
}

/// What is known of an attempt right before its first byte.
pub struct AttemptToWrite {
    /// Its request; none if that is no longer open.
    pub record: Option<RequestRecord>,
    /// The last peek into the client's socket.
    pub client: PeekResult,
    /// Enough time is left for a response before the process ends.
    pub process_may_forward: bool,
    /// Its first byte must not be written after this.
    pub start_deadline: Instant,
    /// The present time.
    pub now: Instant,
    /// The endpoint takes new requests.
    pub endpoint_is_ready: bool,
    /// The present address of the endpoint; none if it is no longer listed.
    pub endpoint_addr: Option<SocketAddr>,
    /// The address that the connection leads to.
    pub connected_addr: SocketAddr,
}

/// Refuses to start an attempt that the library has requested.
///
/// Guards against a library whose view of the request is not the registry's: an event that is still queued may have
/// answered the request, the deadline may have passed since the library was given the time, and a fault of the library
/// may request one attempt too many. The attempt would be executed for nobody, or beside another one. The check holds
/// because the registry alone gives final responses and counts attempts, and because nothing else runs between this
/// check and the registration of the attempt.
pub fn enforce_before_start(
    limits: &AttemptLimits,
    attempt: &AttemptToStart,
) -> Result<SocketAddr, StartRefusal> {
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
    attempt.endpoint_addr.ok_or(StartRefusal::EndpointRemoved)
}

/// Refuses to write an attempt.
///
/// Guards against what happens while a connection is found, which takes up to the connect timeout: the client
/// disconnects, an earlier attempt turns out to have been executed, the process begins to end, the retry window of the
/// idempotency key closes, or the endpoint drains, is removed or moves. Each would show as a request that is executed
/// without a reader, executed twice, cut off at the exit, or sent to an endpoint that must get no more. The check holds
/// because it runs on the thread of all tasks, right before the first byte, and again whenever that write has to wait.
pub fn enforce_before_write(attempt: &AttemptToWrite) -> Result<(), WriteRefusal> {
    let record = attempt.record.filter(|record| record.ended_at.is_none());
    let record = record.ok_or(WriteRefusal::RequestClosed)?;
    if attempt.client == PeekResult::EndOfStream {
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
    if attempt.endpoint_addr != Some(attempt.connected_addr) {
        return Err(WriteRefusal::EndpointMoved);
    }
    Ok(())
}

/// The outcome of an attempt that was refused, in the library's terms. One that only its endpoint stood against counts
/// as rejected, as another endpoint may be tried.
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
