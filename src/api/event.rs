//! Events that the host reports to the library.

use super::{CustomerId, Endpoint, EndpointId, Millis, RequestId};

/// An event at the gateway.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The complete endpoint list, or the entries that have changed.
    EndpointUpdate {
        /// Whether the list is complete: endpoints that a complete list does not contain have been removed.
        complete: bool,
        /// The entries of the update.
        endpoints: Vec<Endpoint>,
    },
    /// A poll of the endpoint list failed. The previous list stays in use.
    EndpointPollFailed,
    /// A client's request arrived.
    Request(Request),
    /// The first part of a streamed response was passed on to the client. The request's deadline no longer applies.
    ResponseStarted {
        /// The request.
        id: RequestId,
    },
    /// An attempt has ended.
    AttemptEnded(AttemptEnd),
    /// The client has disconnected or cancelled the request. No response is needed.
    ClientDisconnected {
        /// The request.
        id: RequestId,
    },
    /// A timer that was set by [`Action::SetTimer`](crate::Action::SetTimer) has fired.
    ///
    /// The host must report each such action exactly once. A token that was never set, or that is reported twice, may
    /// start a second cycle of periodic housekeeping.
    TimerFired {
        /// The token of the action.
        token: u64,
    },
    /// A call to the shared counter has ended.
    CounterReply {
        /// The key of the call. Replies to calls with the same key must be reported in the order of the calls.
        key: u64,
        /// The outcome of the call.
        outcome: Outcome,
        /// The total after the call; only meaningful with [`Outcome::Success`].
        total: f64,
        /// Time since the call was made.
        elapsed_ms: Millis,
    },
    /// A gossip message from another gateway.
    Gossip {
        /// Index of the sending gateway.
        from: u32,
        /// The encoded message.
        body: Vec<u8>,
    },
}

/// A client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Identifies the request at this gateway.
    pub id: RequestId,
    /// The customer whose quota is charged.
    pub customer: CustomerId,
    /// The customer's plan, an index into [`Settings::plans`](crate::Settings::plans).
    pub plan: u32,
    /// The request's class, an index into [`Settings::classes`](crate::Settings::classes).
    pub class: u32,
    /// Quota units that the request costs; an estimate if [`Settings::settles_units`](crate::Settings::settles_units)
    /// is set.
    pub units: f64,
    /// Time until the client gives up.
    pub timeout_ms: Millis,
    /// Number of gateways that this customer's requests are spread over, 1 or more.
    pub gateway_set_size: f64,
    /// Whether the client marked the request as a retry.
    pub is_retry: bool,
}

/// The end of one attempt to forward a request.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The request.
    pub id: RequestId,
    /// The attempt's number, from 0 in the order of sending.
    pub attempt: u8,
    /// The endpoint that the attempt was sent to.
    pub endpoint: EndpointId,
    /// The outcome of the attempt.
    pub outcome: Outcome,
    /// Whether the client has received the final response, from this attempt or before.
    pub request_answered: bool,
    /// Quota units that the request actually cost; `None` if the endpoint did not report them.
    pub actual_units: Option<f64>,
    /// Time since the attempt was sent.
    pub elapsed_ms: Millis,
}

/// The outcome of an attempt or of a call to the counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered successfully.
    Success,
    /// Answered with an error, or by the counter without a valid total; may have been executed.
    ErrorResponse,
    /// Rejected before the attempt or call was executed. The cause is load at the endpoint or the counter, a counter
    /// that answers with status 400 or 404, a full queue of counter calls, or an endpoint that is not ready or has
    /// moved.
    Rejected,
    /// Not answered in time; may have been executed.
    Timeout,
    /// No connection could be opened, or the connection was lost before the whole request was written; never executed.
    ConnectFailed,
    /// The connection broke after the request was written, or the response was malformed or too long; may have been
    /// executed.
    ConnectionReset,
    /// Cancelled by the gateway; may have been executed.
    Cancelled,
    /// Not sent, or sent only in part when the deadline passed or the gateway cancelled the attempt; never executed.
    NotSent,
}

impl Outcome {
    /// Whether the outcome counts as a response of a working endpoint: the request was served or rejected.
    pub(crate) fn is_valid_response(self) -> bool {
        matches!(self, Outcome::Success | Outcome::Rejected)
    }

    /// Whether the outcome proves that nothing was executed, so that a retry can't execute the request twice.
    #[must_use]
    pub fn never_executed(self) -> bool {
        matches!(
            self,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent
        )
    }
}
