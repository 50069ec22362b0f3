//! The load on the gateway's subset of the endpoints.

/// The load that determines the subset's size, as of the last housekeeping.
#[derive(Default)]
pub(crate) struct SubsetLoad {
    /// Average number of this gateway's attempts in flight.
    pub(crate) mean_in_flight: f64,
    /// Number of members that are ejected or likely to reject requests.
    pub(crate) unhealthy_members: usize,
}
