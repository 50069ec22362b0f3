//! The reasons why the gateway closes a client's connection.

use super::head_timer::{is_expired, HeadTimer};
use crate::lifecycle::Phase;
use crate::metrics::ConnectionEnd;
use crate::server::client::Client;
use crate::server::client_stream::ClientStream;
use std::task::{Context, Poll};

/// The reason why no more requests are served on a connection.
pub enum CloseReason {
    /// hyper has ended the connection.
    Finished,
    /// The client disconnected while its request was being served.
    ClientDisconnected,
    /// The client did not send a complete head in time.
    HeadTimeout,
    /// The process is shutting down, and the client has no request open and awaits no response.
    Drained,
    /// The process is shutting down, and only a part of a request has arrived. The client receives a 503.
    PartialRequest,
}

impl CloseReason {
    /// True if the connection stays open for a request that arrives just before the close.
    pub fn is_revocable(&self) -> bool {
        match self {
            CloseReason::Finished | CloseReason::ClientDisconnected => false,
            CloseReason::HeadTimeout | CloseReason::Drained | CloseReason::PartialRequest => true,
        }
    }

    /// True if a reason that was determined earlier still applies.
    pub fn still_applies(&self, phase: Phase, client: &Client) -> bool {
        match self {
            CloseReason::Finished | CloseReason::ClientDisconnected => true,
            CloseReason::HeadTimeout => is_expired(client),
            CloseReason::Drained => is_drained(phase, client),
            CloseReason::PartialRequest => has_only_partial_request(phase, client),
        }
    }

    /// True if the client may still be sending after its last response. All other connections are closed at once, with
    /// their unread bytes: a request that is in transit during the close gets no response, so its client may retry it.
    pub fn may_still_be_sending(&self) -> bool {
        match self {
            CloseReason::Finished | CloseReason::PartialRequest => true,
            CloseReason::ClientDisconnected | CloseReason::HeadTimeout | CloseReason::Drained => {
                false
            }
        }
    }

    /// The label of the reason in metrics and log lines.
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

/// True if the shutdown may close the connection because its client is not busy. A client that has not sent its first
/// request is waited for until requests are refused.
fn is_drained(phase: Phase, client: &Client) -> bool {
    !client.is_busy()
        && phase >= Phase::NoNewConnections
        && (client.has_sent_request() || phase >= Phase::Refusing)
}

/// True if the shutdown refuses requests, a part of a request has arrived, and no response is due on the connection.
fn has_only_partial_request(phase: Phase, client: &Client) -> bool {
    phase >= Phase::Refusing && client.has_partial_head() && !client.awaits_response()
}

/// Ready once there is a reason to close the connection. `hyper_ended` is true if hyper has ended the connection.
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
    // hyper stops reading once it has bytes of the next request, and would not detect a disconnect after them.
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
