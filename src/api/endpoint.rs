//! Endpoints: the servers that requests are forwarded to, as described by the endpoint list.

use super::{EndpointId, Millis};

/// An entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Identifies the endpoint at this gateway.
    pub id: EndpointId,
    /// Key that determines the endpoint's position on the hash ring from which subsets are selected. All gateways must
    /// use the same key for an endpoint.
    pub hash_key: u64,
    /// The endpoint's zone, an index that all gateways share.
    pub zone: u32,
    /// The endpoint's hardware or software kind.
    pub kind: u32,
    /// The endpoint's cell within its zone.
    pub cell: u32,
    /// Whether the endpoint accepts new requests.
    pub state: EndpointState,
    /// Relative capacity; 1 if the list does not state it.
    pub weight: f64,
    /// Time at which the endpoint's process last started; 0 if that was long ago.
    pub started_at: Millis,
}

/// Whether an endpoint accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Accepts new requests.
    Ready,
    /// Completes the requests in progress and must not be sent new ones.
    Draining,
    /// Not part of the fleet any more.
    Removed,
}
