//! Which connection is closed when a new one finds no slot.
//!
//! Guards against two failures: clients that stop in the middle of a request, or send it very slowly, take all slots, so
//! that whole requests of other clients are refused; and clients that rest for a moment between two requests lose their
//! connections to them.

use super::{Client, ClientPhase};
use std::cmp::Reverse;
use std::time::Duration;
use tokio::time::Instant;

#[cfg(test)]
mod tests;

/// Time for which a new connection is kept, because its first request may be in transit.
const NEW_CLIENT_GRACE: Duration = Duration::from_millis(20);
/// Time without a request after which a client counts as resting for long.
const LONG_REST: Duration = Duration::from_millis(500);
/// Time without bytes after which an incomplete request counts as stalled.
const REQUEST_STALL: Duration = Duration::from_millis(250);
/// Time after which a request that is still arriving counts as slow.
const SLOW_REQUEST: Duration = Duration::from_millis(250);

/// A connection that may be closed in favor of a new one. The candidate with the lowest value is closed first: the one
/// whose client loses least by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvictionCandidate {
    /// The client has its last response and is still sending. Since the last request.
    Lingering(Instant),
    /// The client has never sent a complete head. Since it was accepted.
    WithoutRequest(Instant),
    /// The client has been without a request for long. Since the last one.
    RestingLong(Instant),
    /// Nothing more of an incomplete request has arrived for a while. Since its last bytes.
    StalledRequest(Instant),
    /// The client is without a request. Since the last one.
    Resting(Instant),
    /// A request has been arriving for long. Since its first byte; the newest comes first, so that those before it can
    /// become complete.
    SlowRequest(Reverse<Instant>),
}

impl EvictionCandidate {
    /// True if the client has sent a part of a request, for which it gets an error before the connection is closed.
    pub fn has_incomplete_request(self) -> bool {
        matches!(
            self,
            EvictionCandidate::StalledRequest(_) | EvictionCandidate::SlowRequest(_)
        )
    }
}

impl Client {
    /// What closing the connection would cost the client. `None` if the connection has to stay open: it has a complete
    /// request or an unwritten response, or the first bytes of one may be in transit or have not been read yet.
    pub fn eviction_candidate(&self) -> Option<EvictionCandidate> {
        if self.is_read_delayed.get() && self.phase.get() != ClientPhase::Receiving {
            return None;
        }
        match self.phase.get() {
            ClientPhase::New => (self.connected_at.elapsed() > NEW_CLIENT_GRACE)
                .then_some(EvictionCandidate::WithoutRequest(self.connected_at)),
            ClientPhase::Closed => Some(EvictionCandidate::Lingering(self.idle_since.get())),
            ClientPhase::Idle if self.has_unwritten_response.get() => None,
            ClientPhase::Idle if self.idle_since.get().elapsed() >= LONG_REST => {
                Some(EvictionCandidate::RestingLong(self.idle_since.get()))
            }
            ClientPhase::Idle => Some(EvictionCandidate::Resting(self.idle_since.get())),
            ClientPhase::Receiving if self.is_request_given_up.get() => None,
            ClientPhase::Receiving => self.incomplete_request(),
            ClientPhase::Serving => None,
        }
    }

    fn incomplete_request(&self) -> Option<EvictionCandidate> {
        let last_arrival = self.last_arrival.get();
        if last_arrival.elapsed() >= REQUEST_STALL {
            return Some(EvictionCandidate::StalledRequest(last_arrival));
        }
        let started_at = self.request_started_at.get();
        (started_at.elapsed() >= SLOW_REQUEST)
            .then_some(EvictionCandidate::SlowRequest(Reverse(started_at)))
    }

    /// True until the client's request is complete.
    pub fn has_incomplete_request(&self) -> bool {
        matches!(self.phase.get(), ClientPhase::New | ClientPhase::Receiving)
    }

    /// Gives the incomplete request up, so that the client gets an error.
    pub fn give_up_request(&self) {
        self.is_request_given_up.set(true);
        self.request_given_up.notify_one();
    }

    /// True if the request was given up in favor of a new connection, which needs the slot at once.
    pub fn is_request_given_up(&self) -> bool {
        self.is_request_given_up.get()
    }

    /// Waits until the incomplete request is given up.
    pub async fn request_given_up(&self) {
        while !self.is_request_given_up.get() {
            self.request_given_up.notified().await;
        }
    }
}
