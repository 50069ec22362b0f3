//! The thresholds below the memory limit at which memory is denied or released, as in Envoy's overload manager.
//!
//! The resident memory is measured and compared with the limit. The limit itself is never the first to act: the lower the
//! use of memory, the earlier it is denied, and the room between the last threshold and the limit is for what may be
//! allocated until the next measurement.
//!
//! | threshold | above it |
//! | --- | --- |
//! | [`FREE_BLOCKS_MARGIN`] | blocks that are free are returned to the system |
//! | [`REQUEST_BODIES_MARGIN`] | bodies of requests wait for memory, and pipelined bytes stay in the sockets |
//! | [`RESPONSES_MARGIN`] | responses and short bodies wait as well |
//! | [`ACCEPTING_MARGIN`] | a new connection replaces another one, or waits |
//! | [`GIVE_UP_MARGIN`] | bodies that are arriving are given up, those without progress first |
//! | [`READING_MARGIN`] | nothing is read from clients |
//! | [`COMPLETION_MARGIN`] | nothing more is allocated that can wait |

#[cfg(test)]
mod tests;

/// Room that is left below the limit before free blocks are returned to the system, in bytes.
const FREE_BLOCKS_MARGIN: usize = 4_000_000;
/// Room that the bodies of requests leave below the limit, in bytes.
const REQUEST_BODIES_MARGIN: usize = 1_100_000;
/// Room that responses and short bodies leave below the limit, in bytes.
const RESPONSES_MARGIN: usize = 900_000;
/// Room that new connections leave below the limit, in bytes.
const ACCEPTING_MARGIN: usize = 800_000;
/// Room below the limit that is regained by giving up bodies, in bytes.
const GIVE_UP_MARGIN: usize = 700_000;
/// Room below the limit with which nothing more is read from clients, in bytes.
const READING_MARGIN: usize = 500_000;

/// Room that is left below the limit even by what ends requests, in bytes.
const COMPLETION_MARGIN: usize = 250_000;

/// What memory is needed for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// A long body of a request, or pipelined bytes: their client can wait.
    RequestBody,
    /// A response, a short body, or what the process depends on: they release other memory soon, or take little.
    Response,
    /// A new connection of a client.
    Accepting,
    /// The next bytes of a client: buffers, and the head of a request.
    Reading,
    /// What ends a request and releases its memory: a short response, or a longer one for which no other body can make
    /// room. If it waited for requests to end that wait for theirs, none would.
    Completion,
}

/// The thresholds for one memory limit.
#[derive(Clone, Copy, Debug)]
pub struct OverloadThresholds {
    limit: usize,
}

impl OverloadThresholds {
    /// Creates the thresholds below a limit in bytes.
    pub fn new(limit: usize) -> Self {
        OverloadThresholds { limit }
    }

    /// Resident memory up to which memory is allocated for a need.
    pub fn max_resident(self, need: Need) -> usize {
        let margin = match need {
            Need::RequestBody => REQUEST_BODIES_MARGIN,
            Need::Response => RESPONSES_MARGIN,
            Need::Accepting => ACCEPTING_MARGIN,
            Need::Reading => READING_MARGIN,
            Need::Completion => COMPLETION_MARGIN,
        };
        self.limit.saturating_sub(margin)
    }

    /// Resident memory up to which free blocks are kept.
    pub fn max_resident_with_free_blocks(self) -> usize {
        self.limit.saturating_sub(FREE_BLOCKS_MARGIN)
    }

    /// Resident memory above which bodies that are arriving are given up.
    pub fn max_resident_with_all_bodies(self) -> usize {
        self.limit.saturating_sub(GIVE_UP_MARGIN)
    }
}
