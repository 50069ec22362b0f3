//! What a gateway is notified of.

use super::{CustomerId, Endpoint, EndpointId, Millis, RequestId};

/// Something that happened at the gateway.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list, or the entries of it that changed.
    EndpointUpdate {
        /// True if endpoints that the update does not name have been removed.
        complete: bool,
        /// The entries.
        endpoints: Vec<Endpoint>,
    },
    /// Polling the endpoint list failed; the former list stays valid.
    EndpointPollFailed,
    /// A client's request arrived.
    Request(Request),
    /// A streamed response has begun; the request's deadline no longer applies.
    ResponseStarted {
        /// The request.
        id: RequestId,
    },
    /// An attempt has ended.
    AttemptEnded(AttemptEnd),
    /// The client has disconnected or cancelled; it needs no response.
    ClientDisconnected {
        /// The request.
        id: RequestId,
    },
    /// A timer that was set by [`Action::SetTimer`](crate::Action::SetTimer) has fired. To be reported once for each
    /// such action: a token that was not set, or one reported twice, may start a second round of housekeeping.
    TimerFired {
        /// The token that the timer was set with.
        token: u64,
    },
    /// A call to the shared counter has ended.
    CounterReply {
        /// The counter's key. Replies for one key arrive in the order of the calls.
        key: u64,
        /// How the call ended.
        outcome: Outcome,
        /// The counter's total after the call; meaningful after [`Outcome::Success`] only.
        total: f64,
        /// Time since the call was made.
        elapsed_ms: Millis,
    },
    /// A message from another gateway.
    Gossip {
        /// The sender's index in the fleet.
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
    /// The customer whose quota it takes from.
    pub customer: CustomerId,
    /// The customer's plan, an index into [`Settings::plans`](crate::Settings::plans).
    pub plan: u32,
    /// The request's class, an index into [`Settings::classes`](crate::Settings::classes).
    pub class: u32,
    /// Quota units; an estimate where [`Settings::settles_units`](crate::Settings::settles_units) is set.
    pub units: f64,
    /// Time left until the client gives up.
    pub timeout_ms: Millis,
    /// Number of gateways that this customer's requests arrive at, 1 or more.
    pub gateway_set_size: f64,
    /// True if the client marked the request as a retry.
    pub is_retry: bool,
}

/// The end of one attempt to have a request served.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The request.
    pub id: RequestId,
    /// The attempt, counted from 0 in the order of sending.
    pub attempt: u8,
    /// The endpoint that it was sent to.
    pub endpoint: EndpointId,
    /// How it ended.
    pub outcome: Outcome,
    /// True if the client has its final response, through this attempt or earlier.
    pub request_answered: bool,
    /// The units that the request really cost, where the endpoint reports them.
    pub actual_units: Option<f64>,
    /// Time since the attempt was sent.
    pub elapsed_ms: Millis,
}

/// How an attempt or a call to the counter ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered successfully.
    Success,
    /// Answered with an error, or with something that can't be understood; may have been executed.
    ErrorResponse,
    /// Rejected because of load, before anything was executed.
    Rejected,
    /// Not answered in time; may have been executed.
    Timeout,
    /// No connection could be opened; never executed.
    ConnectFailed,
    /// The connection broke; may have been executed.
    ConnectionReset,
    /// Cancelled by the gateway; may have been executed.
    Cancelled,
    /// Never sent at all, so never executed.
    NotSent,
}

impl Outcome {
    /// Whether the endpoint responded as one that works does: it served the request, or rejected it because of load.
    pub(crate) fn is_valid_response(self) -> bool {
        matches!(self, Outcome::Success | Outcome::Rejected)
    }

    /// Whether the outcome proves that nothing was executed, so that a retry executes nothing twice.
    #[must_use]
    pub fn never_executed(self) -> bool {
        matches!(
            self,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent
        )
    }
}
