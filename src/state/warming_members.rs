//! The members of the subset that are warming up.

use crate::api::{EndpointId, Millis};
use crate::state::EndpointTable;

/// Their numbers, found anew only when members have changed.
#[derive(Default)]
pub(crate) struct WarmingMembers {
    /// Sorted by number.
    pub(crate) ids: Vec<EndpointId>,
    /// The members or their starts have changed since `ids` was filled.
    pub(crate) is_stale: bool,
}

impl WarmingMembers {
    /// Adds members that have started, if there may be any, and drops those that are warm by now. Returns the capacity
    /// of all members, in warm endpoints.
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

    /// Refills their tokens, at a rate in tokens a second for a warm endpoint.
    pub(crate) fn refill(&self, now: Millis, endpoints: &mut EndpointTable, warm_rate: f64) {
        for id in &self.ids {
            if let Some(endpoint) = endpoints.get_mut(*id) {
                endpoint.warm_up.refill(now, warm_rate);
            }
        }
    }
}
