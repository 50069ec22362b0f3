//! Endpoints compared for one attempt.

use crate::api::{Endpoint, EndpointId, Idempotency, KeyScope};

/// An endpoint that may be sent the attempt.
#[derive(Clone, Copy)]
pub(crate) struct Candidate {
    pub(crate) preference: Preference,
    pub(crate) cost_ms: f64,
    pub(crate) endpoint: EndpointId,
}

/// Whether anything speaks against an endpoint, whatever it costs.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Preference {
    Preferred,
    /// It has failed the request before, rejects the request's plan or is ejected.
    LastResort,
}

impl Candidate {
    pub(crate) fn is_preferred(&self) -> bool {
        self.preference == Preference::Preferred
    }

    /// Preference comes first, then cost.
    pub(crate) fn is_better_than(&self, other: Candidate) -> bool {
        (self.preference, self.cost_ms) < (other.preference, other.cost_ms)
    }
}

/// The endpoints that recognise a retry of a request with an idempotency key.
pub(crate) enum DeduplicationScope {
    All,
    Zone { zone: u32 },
    Cell { zone: u32, cell: u32 },
}

impl DeduplicationScope {
    /// The scope of a request that `first_executor` may have executed.
    pub(crate) fn new(idempotency: Idempotency, first_executor: Option<&Endpoint>) -> Self {
        let Some(first) = first_executor else {
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
            } => DeduplicationScope::Cell {
                zone: first.zone,
                cell: first.cell,
            },
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
            DeduplicationScope::Cell { zone, cell } => {
                endpoint.zone == zone && endpoint.cell == cell
            }
        }
    }
}

#[cfg(test)]
mod tests;
