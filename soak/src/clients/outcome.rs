//! The outcome of a request that was sent: the response, or whether the gateway had read the request when the
//! connection ended.

use super::context::ClientContext;
use super::request::Request;
use stand_ins::connection::Connection;
use stand_ins::message::Message;
use std::io;
use std::time::Duration;
use tokio::time::{timeout, Instant};

#[cfg(test)]
mod tests;

/// A request counts as lost if no response arrives within this time after the client's deadline.
const RESPONSE_SLACK: Duration = Duration::from_millis(500);
/// A close that the client observes within this time after it sent a request may have been sent before the request
/// arrived.
const CROSSING_TIME: Duration = Duration::from_millis(10);

/// The end of a connection without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Close {
    /// The connection was reset, or its close crossed the request on the way. The gateway has not read the request, so
    /// the client may send it again.
    Unread,
    /// The connection was closed in an orderly way after the request had arrived. The operating system would have reset
    /// a connection with unread bytes, so the gateway has read the request and dropped it.
    Dropped,
}

impl Close {
    /// Classifies the end of a connection that was open when the client sent its request. `elapsed` is the time from
    /// sending the request to observing the end, and `delay` is the delay that this process may have added to it.
    pub fn classify(
        result: &io::Result<Option<Message>>,
        elapsed: Duration,
        delay: Duration,
    ) -> Self {
        let is_orderly = matches!(result, Ok(None));
        if is_orderly && elapsed > CROSSING_TIME + delay {
            Close::Dropped
        } else {
            Close::Unread
        }
    }

    /// True if idle clients may be the cause: a gateway whose file descriptors they use up may close a connection
    /// unread.
    pub fn may_be_due_to_idle_clients(self, was_forwarded: bool) -> bool {
        self == Close::Unread && !was_forwarded
    }
}

/// The outcome of a request.
pub enum Outcome {
    /// The complete response.
    Response(Message),
    /// The connection ended without a response.
    Closed(Close),
    /// No response arrived in time.
    TimedOut,
}

/// Waits for the response to a request that was just sent, and passes it to the checker.
pub async fn receive(
    context: &ClientContext,
    connection: &mut Connection,
    request: &Request,
) -> Outcome {
    let sent_at = Instant::now();
    match timeout(request.remaining + RESPONSE_SLACK, connection.receive()).await {
        Ok(Ok(Some(response))) => {
            let mut checker = context.checker.borrow_mut();
            checker.response_received(request.transaction, response.status(), &response.body);
            Outcome::Response(response)
        }
        Ok(result) => Outcome::Closed(Close::classify(
            &result,
            sent_at.elapsed(),
            context.delay.allowance(),
        )),
        Err(_) => Outcome::TimedOut,
    }
}
