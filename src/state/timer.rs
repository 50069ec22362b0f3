//! The timers that a gateway sets, and their encoding as tokens.

use crate::api::RequestId;

const HOUSEKEEPING_TOKEN: u64 = 0;
const COUNTER_WAIT_FLAG: u64 = 1 << 60;
const GOSSIP_FLAG: u64 = 1 << 61;
/// Bits of a token that hold a request's id. The four highest bits identify the kind of timer.
const REQUEST_ID_MASK: u64 = (1 << 60) - 1;

/// The purpose of a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Timer {
    /// The next run of the periodic housekeeping.
    Housekeeping,
    /// The end of the longest time that the request waits for the counter's reply.
    CounterWait(RequestId),
    /// The next gossip message with collected usage is due.
    Gossip,
}

impl Timer {
    /// The token that identifies the timer in `Action::SetTimer`.
    pub(crate) fn token(self) -> u64 {
        match self {
            Timer::Housekeeping => HOUSEKEEPING_TOKEN,
            Timer::CounterWait(id) => COUNTER_WAIT_FLAG | id,
            Timer::Gossip => GOSSIP_FLAG,
        }
    }

    /// Decodes the token of a timer that has fired.
    ///
    /// The host must report only tokens that the gateway has set, each of them once. An unknown token counts as
    /// housekeeping, which sets its own timer again and would run twice as often from then on.
    pub(crate) fn from_token(token: u64) -> Self {
        match token & !REQUEST_ID_MASK {
            COUNTER_WAIT_FLAG => Timer::CounterWait(token & REQUEST_ID_MASK),
            GOSSIP_FLAG => Timer::Gossip,
            _ => Timer::Housekeeping,
        }
    }
}

#[cfg(test)]
mod tests;
