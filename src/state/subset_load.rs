//! The load on the gateway's subset of the endpoints.

/// What the size of the subset depends on, as of the last tick.
#[derive(Default)]
pub(crate) struct SubsetLoad {
    /// Attempts of this gateway in flight, averaged.
    pub(crate) mean_in_flight: f64,
    /// Members that are ejected or reject requests.
    pub(crate) unhealthy_members: usize,
}
