//! What all parts of a run know of it.

use crate::scenario::Scenario;
use tokio::time::Instant;

/// What was set or drawn for a run.
#[derive(Clone, Copy)]
pub struct RunSettings {
    /// Deadlines and what makes shutdowns harder.
    pub scenario: Scenario,
    /// The seed of all random streams.
    pub seed: u64,
    /// Gateways poll a service that all share for the list, in place of an agent that pushes it.
    pub is_polled: bool,
    /// Clients and faults begin nothing new from then on.
    pub load_ends_at: Instant,
}

impl RunSettings {
    /// True once the load has ended.
    pub fn has_load_ended(&self) -> bool {
        Instant::now() >= self.load_ends_at
    }
}
