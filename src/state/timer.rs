//! The timers that a gateway sets, and their tokens.

use crate::api::RequestId;

/// The highest bits of a token say which timer it is, the rest is a request's id.
const HOUSEKEEPING_TOKEN: u64 = 0;
const COUNTER_WAIT_FLAG: u64 = 1 << 60;
const GOSSIP_FLAG: u64 = 1 << 61;
const REQUEST_ID_MASK: u64 = (1 << 60) - 1;

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Timer {
    /// The periodic housekeeping.
    Housekeeping,
    /// The request has waited for the counter for as long as it may.
    CounterWait(RequestId),
    /// The usage collected so far is due to be sent to the other gateways.
    Gossip,
}

impl Timer {
    /// The token to set the timer with.
    pub(crate) fn token(self) -> u64 {
        match self {
            Timer::Housekeeping => HOUSEKEEPING_TOKEN,
            Timer::CounterWait(id) => COUNTER_WAIT_FLAG | id,
            Timer::Gossip => GOSSIP_FLAG,
        }
    }

    /// The timer that was set with this token. Hosts must hand back only tokens that the gateway has set, each once:
    /// an unknown one counts as housekeeping, which would set its timer again and run twice as often from then on.
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
