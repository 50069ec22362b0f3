//! Actions that the library asks the host to carry out.

use super::{EndpointId, Millis, RequestId};

/// An action for the host. Actions must be carried out in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the next attempt of a request.
    SendAttempt {
        /// The request.
        id: RequestId,
        /// The endpoint to send it to.
        endpoint: EndpointId,
        /// Timeout of the attempt, counted from now.
        timeout_ms: Millis,
        /// Time within which the first byte of the attempt must be written. After that time the attempt must not be
        /// sent, as the request might be executed twice. Infinite if there is no such risk.
        start_timeout_ms: Millis,
    },
    /// Cancel an attempt that is in flight.
    CancelAttempt {
        /// The request.
        id: RequestId,
        /// The attempt's number, from 0 in the order of sending.
        attempt: u8,
    },
    /// Send the final response "rejected". The client may safely send the request again: nothing was executed, or a
    /// second execution does no harm.
    Reject {
        /// The request.
        id: RequestId,
        /// Time after which the client should retry, for the Retry-After header; 0 for no advice.
        retry_after_ms: Millis,
    },
    /// Send the final response "failed". An attempt may have been executed, and a second execution could do harm.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Start a timer that is reported once as [`Event::TimerFired`](crate::Event::TimerFired).
    SetTimer {
        /// Identifies the timer; returned with the event.
        token: u64,
        /// Time from now until the timer fires.
        after_ms: Millis,
    },
    /// Add to an entry of the shared counter and report the new total as
    /// [`Event::CounterReply`](crate::Event::CounterReply).
    AddToCounter {
        /// Key of the counter's entry.
        key: u64,
        /// Amount to add: 0 only reads the total, a negative amount is a refund.
        amount: f64,
        /// Time to live of the entry, if this call creates it.
        ttl_ms: Millis,
    },
    /// Watch the endpoint list: report it as [`Event::EndpointUpdate`](crate::Event::EndpointUpdate) from now on. Hosts
    /// that watch the list by themselves can ignore this action.
    WatchEndpoints,
    /// Send a gossip message to other gateways. Delivery is not guaranteed.
    Gossip {
        /// Index of the receiving gateway; `u32::MAX` for all other gateways.
        to: u32,
        /// The encoded message.
        body: Vec<u8>,
    },
}
