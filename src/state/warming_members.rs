//! The members of the subset that are warming up.

use crate::api::{EndpointId, Millis};
use crate::state::EndpointTable;

/// Their ids, found again only when members have changed.
#[derive(Default)]
pub(crate) struct WarmingMembers {
    /// Sorted by number.
    pub(crate) ids: Vec<EndpointId>,
    /// The members or their starts have changed since `ids` was filled.
    pub(crate) is_stale: bool,
}

impl WarmingMembers {
    /// Adds members that have started since the last update, and removes those that are warm by now. Returns the
    /// capacity of all members, as a number of warm endpoints.
    pub(crate) fn update(
        &mut self,
        now: Millis,
        endpoints: &EndpointTable,
        members: &[EndpointId],
    ) -> f64 {
        if std::mem::take(&mut self.is_stale) {
            let started = endpoints
                .select(members)
                .filter(|endpoint| endpoint.warm_up.has_ramp());
            self.ids = started.map(|endpoint| endpoint.endpoint.id).collect();
        }
        self.ids.retain(|id| {
            endpoints
                .get(*id)
                .is_some_and(|e| e.warm_up.capacity_share(now).is_some())
        });
        let shares = endpoints
            .select(&self.ids)
            .filter_map(|endpoint| endpoint.warm_up.capacity_share(now));
        let missing_capacity: f64 = shares.map(|share| 1.0 - share).sum();
        members.len() as f64 - missing_capacity
    }
}
