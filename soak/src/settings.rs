//! The settings of a run.

use crate::scenario::Scenario;
use tokio::time::Instant;

/// The settings of a run, from its arguments and its seed.
#[derive(Clone, Copy)]
pub struct RunSettings {
    /// The scenario that the seed draws.
    pub scenario: Scenario,
    /// The seed of all random streams.
    pub seed: u64,
    /// Gateways poll a shared service for the endpoint list. Otherwise an agent pushes the list.
    pub is_polled: bool,
    /// The end of the load. Clients and the schedule of faults check this time before each pause, so requests and a
    /// fault that follow the last pause may begin later. Shutdown clients don't check this time.
    pub load_ends_at: Instant,
}

impl RunSettings {
    /// True once `load_ends_at` has passed.
    pub fn has_load_ended(&self) -> bool {
        Instant::now() >= self.load_ends_at
    }
}
