//! The table of all endpoints that updates of the endpoint list have contained.

use crate::api::{EndpointId, EndpointState, Millis};
use crate::state::TrackedEndpoint;
use std::collections::BTreeMap;

/// The endpoints by id.
#[derive(Default)]
pub(crate) struct EndpointTable {
    endpoints: BTreeMap<EndpointId, TrackedEndpoint>,
    /// Number of updates of the list so far.
    updates: u64,
}

impl EndpointTable {
    pub(crate) fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    pub(crate) fn get(&self, id: EndpointId) -> Option<&TrackedEndpoint> {
        self.endpoints.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: EndpointId) -> Option<&mut TrackedEndpoint> {
        self.endpoints.get_mut(&id)
    }

    /// All endpoints, sorted by id.
    pub(crate) fn all(&self) -> impl Iterator<Item = &TrackedEndpoint> + Clone {
        self.endpoints.values()
    }

    /// The known endpoints among `ids`, in the order of `ids`.
    pub(crate) fn select<'a>(
        &'a self,
        ids: &'a [EndpointId],
    ) -> impl Iterator<Item = &'a TrackedEndpoint> + Clone {
        ids.iter().filter_map(|id| self.endpoints.get(id))
    }

    /// Begins an update of the list. `insert` and `mark_listed` mark endpoints as contained in the update.
    pub(crate) fn begin_update(&mut self) {
        self.updates += 1;
    }

    /// Adds an endpoint and marks it as contained in the current update.
    pub(crate) fn insert(&mut self, mut endpoint: TrackedEndpoint) {
        endpoint.last_update = self.updates;
        self.endpoints.insert(endpoint.entry.id, endpoint);
    }

    /// Marks a known endpoint as contained in the current update, and returns it.
    pub(crate) fn mark_listed(&mut self, id: EndpointId) -> Option<&mut TrackedEndpoint> {
        let endpoint = self.endpoints.get_mut(&id)?;
        endpoint.last_update = self.updates;
        Some(endpoint)
    }

    /// Endpoints that the current update does not contain and that were not removed before.
    pub(crate) fn unlisted(&mut self) -> impl Iterator<Item = &mut TrackedEndpoint> {
        let update = self.updates;
        self.endpoints.values_mut().filter(move |endpoint| {
            endpoint.last_update != update && endpoint.entry.state != EndpointState::Removed
        })
    }

    /// Deletes the records of removed endpoints that have no attempt in flight and whose last success was
    /// `after_success_ms` or longer ago. The time of the removal itself doesn't matter.
    pub(crate) fn forget_removed(&mut self, now: Millis, after_success_ms: Millis) {
        self.endpoints.retain(|_, endpoint| {
            let is_removed = endpoint.entry.state == EndpointState::Removed;
            let is_recent = now - endpoint.last_success_at() < after_success_ms;
            !is_removed || endpoint.in_flight > 0 || is_recent
        });
    }
}
