//! When and why the gateway closes a client's connection.

use super::head_timer::{is_expired, HeadTimer};
use crate::lifecycle::Phase;
use crate::metrics::ConnectionEnd;
use crate::server::client::Client;
use crate::server::client_stream::ClientStream;
use std::task::{Context, Poll};

/// Why no more requests are served on a connection.
pub enum CloseReason {
    /// hyper has ended the connection.
    Finished,
    /// The client disconnected while its request was being served.
    ClientDisconnected,
    /// The client has sent no complete head in time.
    HeadTimeout,
    /// The process ends, and nothing is owed to the client.
    Drained,
    /// The process ends, and a request has arrived in part. It is answered with 503.
    PartialRequest,
}

impl CloseReason {
    /// True if a request that arrives in the last moment keeps the connection open.
    pub fn is_revocable(&self) -> bool {
        match self {
            CloseReason::Finished | CloseReason::ClientDisconnected => false,
            CloseReason::HeadTimeout | CloseReason::Drained | CloseReason::PartialRequest => true,
        }
    }

    /// Whether a reason that was found before still applies.
    pub fn still_applies(&self, phase: Phase, client: &Client) -> bool {
        match self {
            CloseReason::Finished | CloseReason::ClientDisconnected => true,
            CloseReason::HeadTimeout => is_expired(client),
            CloseReason::Drained => is_drained(phase, client),
            CloseReason::PartialRequest => has_only_partial_request(phase, client),
        }
    }

    /// True if the client may still be sending behind its last response. The other connections are closed at once,
    /// with what they have unread: a request that crosses the close is not answered, so its client may retry it.
    pub fn may_still_be_sending(&self) -> bool {
        match self {
            CloseReason::Finished | CloseReason::PartialRequest => true,
            CloseReason::ClientDisconnected | CloseReason::HeadTimeout | CloseReason::Drained => {
                false
            }
        }
    }

    /// The reason as metrics and the log have it.
    pub fn metric_label(&self, phase: Phase) -> ConnectionEnd {
        match self {
            CloseReason::ClientDisconnected => ConnectionEnd::ClientDisconnected,
            CloseReason::HeadTimeout => ConnectionEnd::TimedOut,
            CloseReason::PartialRequest => ConnectionEnd::Incomplete,
            CloseReason::Drained => ConnectionEnd::Draining,
            CloseReason::Finished if phase >= Phase::NoNewConnections => ConnectionEnd::Draining,
            CloseReason::Finished => ConnectionEnd::Finished,
        }
    }
}

/// Whether a connection closes as the process ends: nothing is owed to its client. One that has not sent its first
/// request is waited for until requests are refused.
fn is_drained(phase: Phase, client: &Client) -> bool {
    !client.is_busy()
        && phase >= Phase::NoNewConnections
        && (client.has_sent_request() || phase >= Phase::Refusing)
}

/// Whether a connection is refused as the process ends: a request has arrived in part, and nothing else is owed.
fn has_only_partial_request(phase: Phase, client: &Client) -> bool {
    phase >= Phase::Refusing && client.has_begun_head() && !client.is_owed_response()
}

/// Ready once there is a reason to close the connection. `hyper_ended` says that hyper has ended it.
pub fn poll_close_reason(
    hyper_ended: bool,
    phase: Phase,
    stream: &ClientStream,
    client: &Client,
    head_timer: &mut HeadTimer,
    cx: &mut Context<'_>,
) -> Poll<CloseReason> {
    if hyper_ended {
        return Poll::Ready(CloseReason::Finished);
    }
    // hyper stops reading once it has bytes of the next request, and would not notice a disconnect behind them.
    if client.is_being_served() && stream.poll_disconnected(cx).is_ready() {
        return Poll::Ready(CloseReason::ClientDisconnected);
    }
    if is_drained(phase, client) {
        return Poll::Ready(CloseReason::Drained);
    }
    if has_only_partial_request(phase, client) {
        return Poll::Ready(CloseReason::PartialRequest);
    }
    head_timer
        .poll_expired(client, cx)
        .map(|()| CloseReason::HeadTimeout)
}
