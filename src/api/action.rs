//! What a gateway has to do.

use super::{EndpointId, Millis, RequestId};

/// Something that the program which hosts the gateway has to do. Actions are carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the next attempt of a request.
    SendAttempt {
        /// The request.
        id: RequestId,
        /// The endpoint to send it to.
        endpoint: EndpointId,
        /// Time after which the attempt has timed out.
        timeout_ms: Millis,
        /// Time within which its first byte has to be written, or it must not be sent: it might be executed twice.
        /// Infinite for an attempt that can't be.
        start_timeout_ms: Millis,
    },
    /// Cancel an attempt that is in flight.
    CancelAttempt {
        /// The request.
        id: RequestId,
        /// The attempt, counted from 0.
        attempt: u8,
    },
    /// Final response: rejected. The client may safely send the request again: nothing was executed, or a second
    /// execution does no harm.
    Reject {
        /// The request.
        id: RequestId,
        /// When the client should try again; 0 for no advice.
        retry_after_ms: Millis,
    },
    /// Final response: failed. An attempt may have been executed, and another execution could do harm.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Report [`Event::TimerFired`](crate::Event::TimerFired) after this time.
    SetTimer {
        /// Handed back with the event.
        token: u64,
        /// Time from now.
        after_ms: Millis,
    },
    /// Add to a shared counter and report its total as [`Event::CounterReply`](crate::Event::CounterReply).
    AddToCounter {
        /// The counter's key.
        key: u64,
        /// What to add; 0 only reads the total, and a negative amount is given back.
        amount: f64,
        /// Time after which a counter that this call creates is dropped.
        ttl_ms: Millis,
    },
    /// Watch the endpoint list, and report changes of it from now on.
    WatchEndpoints,
    /// Send a message to another gateway. It may be lost.
    Gossip {
        /// The receiver's index in the fleet; `u32::MAX` for all gateways.
        to: u32,
        /// The encoded message.
        body: Vec<u8>,
    },
}
