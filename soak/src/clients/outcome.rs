//! What becomes of a request that was sent: its answer, or what the end of its connection says of it.

use super::context::ClientContext;
use super::request::Request;
use stand_ins::connection::Connection;
use stand_ins::message::Message;
use std::io;
use std::time::Duration;
use tokio::time::{timeout, Instant};

#[cfg(test)]
mod tests;

/// An answer may come this long after the client's deadline; later, the request counts as lost.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// A request and the close of its connection may cross for this long.
const CROSSING_TIME: Duration = Duration::from_millis(10);

/// How a connection ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Close {
    /// It broke, or its end crossed the request: the gateway has not read that, and it may be sent again.
    Unread,
    /// It was closed in an orderly way after the request had arrived. With bytes unread the system would have broken
    /// it: the gateway has read the request and dropped it.
    Dropped,
}

impl Close {
    /// The close that a client saw `after` it had sent its request on a connection that was open then; `delay` is how
    /// late this process may have seen it.
    pub fn seen(result: &io::Result<Option<Message>>, after: Duration, delay: Duration) -> Self {
        let is_orderly = matches!(result, Ok(None));
        if is_orderly && after > CROSSING_TIME + delay {
            Close::Dropped
        } else {
            Close::Unread
        }
    }

    /// Whether idle clients may be the cause: where they fill the descriptors, a connection may be closed unread.
    pub fn is_due_to_idle_clients(self, was_forwarded: bool) -> bool {
        self == Close::Unread && !was_forwarded
    }
}

/// What became of a request.
pub enum Outcome {
    /// Its answer is complete.
    Answered(Message),
    /// The connection ended without an answer.
    Closed(Close),
    /// Nothing came in time.
    TimedOut,
}

/// Waits for the answer to a request that was sent just now, and hands it to the checker.
pub async fn receive(
    context: &ClientContext,
    connection: &mut Connection,
    request: &Request,
) -> Outcome {
    let sent_at = Instant::now();
    match timeout(request.remaining + ANSWER_SLACK, connection.receive()).await {
        Ok(Ok(Some(answer))) => {
            let mut checker = context.checker.borrow_mut();
            checker.response_received(request.transaction, answer.status(), &answer.body);
            Outcome::Answered(answer)
        }
        Ok(result) => Outcome::Closed(Close::seen(
            &result,
            sent_at.elapsed(),
            context.delay.allowance(),
        )),
        Err(_) => Outcome::TimedOut,
    }
}
