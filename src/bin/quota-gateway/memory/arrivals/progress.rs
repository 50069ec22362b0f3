//! The progress of one body, and the order in which bodies are given up.

use super::super::overload::Need;
use std::cell::Cell;
use std::cmp::Reverse;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Time without a piece after which a body may be given up for another one, which waits until then. A body whose peer
/// goes on sending is not given up for another.
pub const MIN_STALL: Duration = Duration::from_millis(500);
/// The same time while no more clients are connected than ordinary ones: their requests can wait for each other.
const MIN_STALL_WITHOUT_CROWD: Duration = Duration::from_millis(1500);
/// The same time if the other one is a response, a short body, or one that the process depends on.
const MIN_STALL_FOR_URGENT_BODY: Duration = Duration::from_millis(50);
/// Maximum announced length of a short body, in bytes.
pub const MAX_SHORT_BODY: usize = 4 * 1024;

/// Whether a body may be given up in favor of others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Priority {
    /// The body of a request, which has not been forwarded. It may be given up: its client may try again.
    Request,
    /// The body of a response. It is given up only if no request's body can be: its request may have been executed.
    Response,
    /// The body is kept, because the process depends on it.
    Essential,
}

/// The progress of one body.
pub struct Progress {
    /// Number in the order of the start.
    pub number: u64,
    priority: Priority,
    is_short: bool,
    /// Memory that the body has reserved.
    pub bytes: Cell<usize>,
    pub last_piece_at: Cell<Instant>,
    /// True while the body itself waits for room: its peer may have sent more.
    pub waits_for_room: Cell<bool>,
    pub given_up: Cell<bool>,
    pub give_up_notice: Notify,
}

impl Progress {
    /// Creates the progress of a body that begins to arrive.
    pub fn new(number: u64, priority: Priority, is_short: bool) -> Self {
        Progress {
            number,
            priority,
            is_short,
            bytes: Cell::new(0),
            last_piece_at: Cell::new(Instant::now()),
            waits_for_room: Cell::new(false),
            given_up: Cell::new(false),
            give_up_notice: Notify::new(),
        }
    }

    /// True if giving the body up makes room: a short one takes next to nothing.
    pub fn may_be_given_up(&self) -> bool {
        let makes_room = self.bytes.get() > MAX_SHORT_BODY;
        makes_room && self.priority != Priority::Essential && !self.given_up.get()
    }

    /// True if the body does not wait behind long bodies of requests.
    pub fn is_urgent(&self) -> bool {
        self.is_short || self.priority != Priority::Request
    }

    /// What the memory of the body is needed for.
    pub fn need(&self) -> Need {
        if self.is_urgent() {
            Need::Response
        } else {
            Need::RequestBody
        }
    }

    /// Time without a piece after which another body may be given up for this one.
    pub fn min_stall_of_others(&self, is_crowded: bool) -> Duration {
        if self.is_urgent() {
            MIN_STALL_FOR_URGENT_BODY
        } else if is_crowded {
            MIN_STALL
        } else {
            MIN_STALL_WITHOUT_CROWD
        }
    }

    /// Sort key for giving up; the body with the lowest value is given up first. Bodies of requests come before
    /// responses. Among each, those come first whose peers have sent nothing for longest; then those that wait for room
    /// themselves, the newest first, so that the others can become complete.
    pub fn order(&self) -> (bool, bool, Reverse<u64>, Instant) {
        let waits_for_room = self.waits_for_room.get();
        let newest_first = if waits_for_room { self.number } else { 0 };
        (
            self.priority == Priority::Response,
            waits_for_room,
            Reverse(newest_first),
            self.last_piece_at.get(),
        )
    }
}
