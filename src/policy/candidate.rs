//! The order of candidates: the comparison of the endpoints that may be sent an attempt.

use crate::api::{Endpoint, Idempotency, KeyScope, Millis};
use crate::state::Location;

/// An endpoint that may be sent an attempt.
#[derive(Clone, Copy)]
pub(crate) struct Candidate<'e> {
    pub(crate) preference: Preference,
    /// Expected latency plus the price of a handshake if one is needed, in ms.
    pub(crate) cost_ms: Millis,
    /// The endpoint's entry in the endpoint list.
    pub(crate) endpoint: &'e Endpoint,
}

/// Preference for an endpoint, regardless of its cost. The variants are in order of preference.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Preference {
    Preferred,
    /// The endpoint has already had an attempt of the request, is likely to reject the request's plan, or is
    /// ejected.
    LastResort,
}

impl Candidate<'_> {
    pub(crate) fn is_preferred(&self) -> bool {
        self.preference == Preference::Preferred
    }

    /// Compares candidates by preference first, then by cost.
    pub(crate) fn is_better_than(&self, other: Candidate<'_>) -> bool {
        (self.preference, self.cost_ms) < (other.preference, other.cost_ms)
    }
}

/// The endpoints that recognise a retry of a request by its idempotency key and so don't execute the request
/// again.
pub(crate) enum DeduplicationScope {
    All,
    Zone { zone: u32 },
    Cell(Location),
}

impl DeduplicationScope {
    /// Returns the scope of a request that an endpoint at `first_possible_execution` may have executed.
    pub(crate) fn new(
        idempotency: Idempotency,
        first_possible_execution: Option<Location>,
    ) -> Self {
        let Some(first) = first_possible_execution else {
            return DeduplicationScope::All;
        };
        match idempotency {
            Idempotency::WithKey {
                scope: KeyScope::Zone,
                ..
            } => DeduplicationScope::Zone { zone: first.zone },
            Idempotency::WithKey {
                scope: KeyScope::Cell,
                ..
            } => DeduplicationScope::Cell(first),
            Idempotency::WithKey {
                scope: KeyScope::All,
                ..
            }
            | Idempotency::Idempotent
            | Idempotency::NotIdempotent => DeduplicationScope::All,
        }
    }

    pub(crate) fn contains(&self, endpoint: &Endpoint) -> bool {
        match *self {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone { zone } => endpoint.zone == zone,
            DeduplicationScope::Cell(cell) => Location::of(endpoint) == cell,
        }
    }
}

#[cfg(test)]
mod tests;
