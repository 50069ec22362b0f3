//! The place of an endpoint in the fleet.

use crate::api::{Endpoint, EndpointId};

/// The zone of an endpoint, and its cell within the zone. They determine which endpoints share idempotency keys.
///
/// A request keeps the locations of its attempts by value. The record of an endpoint may be forgotten or change while a
/// request is open that the endpoint may have executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Location {
    pub(crate) zone: u32,
    pub(crate) cell: u32,
}

impl Location {
    /// The location of an endpoint by its entry in the endpoint list.
    pub(crate) fn of(entry: &Endpoint) -> Self {
        Location {
            zone: entry.zone,
            cell: entry.cell,
        }
    }
}

/// The endpoint to which an attempt is sent.
#[derive(Clone, Copy)]
pub(crate) struct Destination {
    pub(crate) endpoint: EndpointId,
    pub(crate) location: Location,
}

impl Destination {
    /// The destination of an attempt to the endpoint with this entry in the endpoint list.
    pub(crate) fn of(entry: &Endpoint) -> Self {
        Destination {
            endpoint: entry.id,
            location: Location::of(entry),
        }
    }
}
