//! What the end of a connection tells of a request that has no answer.

use crate::http::Message;
use std::io;
use std::time::Duration;

#[cfg(test)]
mod tests;

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
