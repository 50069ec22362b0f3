//! What becomes of a request that was sent: its answer, or what the end of its connection tells.

use crate::http::{Connection, Message};
use crate::request::Request;
use crate::world::World;
use std::io;
use std::time::Duration;
use tokio::time::{timeout, Instant};

#[cfg(test)]
mod tests;

/// An answer may come this long after the client's time, and earns nothing then.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// A request and the end of its connection may cross for so long.
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
    /// The close that a client saw so long after it had sent its request on a connection that was open then.
    pub fn seen(result: &io::Result<Option<Message>>, after: Duration, lag: Duration) -> Self {
        let is_orderly = matches!(result, Ok(None));
        if is_orderly && after > CROSSING_TIME + lag {
            Close::Dropped
        } else {
            Close::Unread
        }
    }

    /// Whether this is owed to a crowd: where idle clients fill the descriptors, a connection may be shut unread.
    pub fn is_due_to_crowd(self, was_forwarded: bool) -> bool {
        self == Close::Unread && !was_forwarded
    }
}

/// What became of a request.
pub enum End {
    /// Its answer came whole.
    Answered(Message),
    /// The connection ended without an answer.
    Closed(Close),
    /// Nothing came in time.
    TimedOut,
}

/// Waits for the answer to a request that was sent just now, and hands it to the judge.
pub async fn receive(world: &World, connection: &mut Connection, request: &Request) -> End {
    let sent_at = Instant::now();
    match timeout(request.remaining + ANSWER_SLACK, connection.receive()).await {
        Ok(Ok(Some(answer))) => {
            world
                .judge
                .borrow_mut()
                .answered(request.transaction, answer.status(), &answer.body);
            End::Answered(answer)
        }
        Ok(result) => End::Closed(Close::seen(
            &result,
            sent_at.elapsed(),
            world.lag.allowance(),
        )),
        Err(_) => End::TimedOut,
    }
}
