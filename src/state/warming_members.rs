//! The members of the subset that are warming up.

use crate::api::{EndpointId, Millis};
use crate::state::EndpointTable;

/// The ids of the warming members. They are collected again only after the members have changed.
#[derive(Default)]
pub(crate) struct WarmingMembers {
    /// Sorted by id.
    pub(crate) ids: Vec<EndpointId>,
    /// Whether the members, or the times of their starts, have changed since `ids` was collected.
    pub(crate) is_stale: bool,
}

impl WarmingMembers {
    /// Adds members that have started since the last update, and removes those that have become warm. Returns the
    /// capacity of all members, expressed as a number of warm endpoints.
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
            self.ids = started.map(|endpoint| endpoint.entry.id).collect();
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
