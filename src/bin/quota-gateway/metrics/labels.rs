//! The labels of the metrics and their values.
//!
//! Dashboards and alerts of operators use the texts, so a text stays when the name in the code changes: `client_gone`,
//! `repeat`, `repeat_window_over`, `may_have_run` and `request_answered` are older than the names of their variants.

use super::family::Label;
use quota_gateway::Outcome;

/// Defines an enumeration as a label.
macro_rules! label {
    ($(#[$doc:meta])* $name:ident, $label:literal, { $($(#[$value_doc:meta])* $value:ident => $text:literal,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum $name {
            $($(#[$value_doc])* $value,)*
        }

        impl Label for $name {
            const NAME: &'static str = $label;
            const ALL: &'static [Self] = &[$($name::$value,)*];

            fn index(self) -> usize {
                self as usize
            }

            fn text(self) -> &'static str {
                match self {
                    $($name::$value => $text,)*
                }
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str(self.text())
            }
        }
    };
}

label! {
    /// The end of a request.
    RequestEnd, "outcome", {
        /// An endpoint served the request.
        Success => "success",
        /// The request was rejected and may safely be retried: it was never executed, or a second execution does no
        /// harm.
        Rejected => "rejected",
        /// The request failed and may have been executed.
        Failed => "failed",
        /// The request was malformed, or not complete in time.
        Invalid => "invalid",
        /// The request was refused because the process is shutting down, and was never executed.
        ShuttingDown => "shutting_down",
        /// The gateway answered the request itself: a health check, or a collection of metrics.
        HealthCheck => "health_check",
        /// The client disconnected before it had a response.
        Disconnected => "disconnected",
    }
}

label! {
    /// The outcome of an attempt.
    AttemptOutcome, "outcome", {
        /// The endpoint served the attempt.
        Success => "success",
        /// The endpoint rejected the attempt unexecuted, or accepts no more requests.
        Rejected => "rejected",
        /// The endpoint responded with an error.
        ErrorResponse => "error_response",
        /// No connection could be established.
        ConnectFailed => "connect_failed",
        /// The connection broke, or the response can't be parsed.
        ConnectionReset => "connection_reset",
        /// No complete response arrived in time.
        Timeout => "timeout",
        /// The attempt was cancelled after it was written.
        Cancelled => "cancelled",
        /// The attempt was not sent, for a reason that says nothing about the endpoint.
        NotSent => "not_sent",
    }
}

label! {
    /// The reason why an attempt was refused right before its first byte.
    AttemptRefusal, "reason", {
        /// The request has its response, or its client has disconnected.
        RequestClosed => "request_answered",
        /// The client has closed its side of the connection, or the connection broke.
        ClientDisconnected => "client_gone",
        /// The endpoint is draining or was removed.
        EndpointNotReady => "endpoint_not_ready",
        /// The endpoint has another address.
        EndpointMoved => "endpoint_moved",
        /// The deadline for the first byte has passed: the endpoint may no longer know the idempotency key, and could
        /// execute the request a second time.
        RetryWindowOver => "repeat_window_over",
        /// The request may have been executed and must not be executed twice.
        MayHaveExecuted => "may_have_run",
        /// The process exits before a response could arrive.
        ShuttingDown => "shutting_down",
    }
}

label! {
    /// The reason why a client's connection ended.
    ConnectionEnd, "reason", {
        /// The connection ended as HTTP provides: the client closed it or sent invalid HTTP, or the gateway's response
        /// asked to close it.
        Finished => "finished",
        /// The client disconnected while its request was being served.
        ClientDisconnected => "client_gone",
        /// No complete head arrived in time.
        TimedOut => "timed_out",
        /// The connection gave up its slot to another client.
        Evicted => "evicted",
        /// No slot was free for the connection.
        NoSlot => "no_slot",
        /// The process is shutting down, and no response was due on the connection.
        Draining => "draining",
        /// The process is shutting down, and a request that had arrived in part was refused.
        Incomplete => "incomplete",
    }
}

label! {
    /// A rule of the protocol that must never be broken.
    Rule, "rule", {
        /// An attempt was written more than 0.1 s after its request had ended.
        SendForClosedRequest => "send_for_closed_request",
        /// An attempt was written to an endpoint after the grace time of its draining or removal.
        SendToDraining => "send_to_draining",
        /// An attempt propagated more remaining time than its client has left.
        RemainingTime => "remaining_time",
        /// An attempt was written that may be a second execution of a request that must be executed once.
        UnsafeRetry => "repeat",
        /// A connection with a complete request was closed without a response.
        CloseUnanswered => "close_unanswered",
        /// An attempt was written after the process had begun to refuse requests.
        SendWhileRefusing => "send_while_refusing",
        /// An endpoint in slow start was sent more attempts than this gateway's share of its capacity.
        SlowStart => "slow_start",
    }
}

impl From<Outcome> for AttemptOutcome {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Success => AttemptOutcome::Success,
            Outcome::Rejected => AttemptOutcome::Rejected,
            Outcome::ErrorResponse => AttemptOutcome::ErrorResponse,
            Outcome::ConnectFailed => AttemptOutcome::ConnectFailed,
            Outcome::ConnectionReset => AttemptOutcome::ConnectionReset,
            Outcome::Timeout => AttemptOutcome::Timeout,
            Outcome::Cancelled => AttemptOutcome::Cancelled,
            Outcome::NotSent => AttemptOutcome::NotSent,
        }
    }
}
