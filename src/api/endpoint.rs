//! Endpoints: the servers that requests are forwarded to, as the endpoint list names them.

use super::{EndpointId, Millis};

/// An entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Identifies the endpoint at this gateway.
    pub id: EndpointId,
    /// A key that is the same at all gateways; it places the endpoint on the ring that subsets are cut from.
    pub hash_key: u64,
    /// The endpoint's zone, an index shared by all settings.
    pub zone: u32,
    /// The endpoint's hardware or software kind.
    pub kind: u32,
    /// The endpoint's cell within its zone.
    pub cell: u32,
    /// Whether it takes new requests.
    pub state: EndpointState,
    /// Relative capacity; 1 where the list does not say.
    pub weight: f64,
    /// When its process last started; 0 if that is long past.
    pub started_at: Millis,
}

/// Whether an endpoint takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes new requests.
    Ready,
    /// Completes the requests that it has and must get no new ones.
    Draining,
    /// No longer part of the fleet.
    Removed,
}
