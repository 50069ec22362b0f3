//! The endpoints that updates of the endpoint list have named.

use crate::api::{EndpointId, EndpointState, Millis};
use crate::state::TrackedEndpoint;
use std::collections::BTreeMap;

/// The endpoints by number.
#[derive(Default)]
pub(crate) struct EndpointTable {
    endpoints: BTreeMap<EndpointId, TrackedEndpoint>,
    /// Updates of the list so far.
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

    /// All endpoints, sorted by number.
    pub(crate) fn all(&self) -> impl Iterator<Item = &TrackedEndpoint> + Clone {
        self.endpoints.values()
    }

    /// Those of these endpoints that are known, in the order given.
    pub(crate) fn select<'a>(
        &'a self,
        ids: &'a [EndpointId],
    ) -> impl Iterator<Item = &'a TrackedEndpoint> + Clone {
        ids.iter().filter_map(|id| self.endpoints.get(id))
    }

    /// An update of the list begins; `insert` and `mark_listed` mark endpoints that it names.
    pub(crate) fn begin_update(&mut self) {
        self.updates += 1;
    }

    pub(crate) fn insert(&mut self, mut endpoint: TrackedEndpoint) {
        endpoint.last_update = self.updates;
        self.endpoints.insert(endpoint.endpoint.id, endpoint);
    }

    pub(crate) fn mark_listed(&mut self, id: EndpointId) -> Option<&mut TrackedEndpoint> {
        let endpoint = self.endpoints.get_mut(&id)?;
        endpoint.last_update = self.updates;
        Some(endpoint)
    }

    /// Endpoints not removed before that this update has not named.
    pub(crate) fn unlisted(&mut self) -> impl Iterator<Item = &mut TrackedEndpoint> {
        let update = self.updates;
        self.endpoints.values_mut().filter(move |endpoint| {
            endpoint.last_update != update && endpoint.endpoint.state != EndpointState::Removed
        })
    }

    /// Forgets removed endpoints without an attempt in flight whose last success was `after_success_ms` or longer ago.
    /// The time of the removal itself doesn't count.
    pub(crate) fn forget_removed(&mut self, now: Millis, after_success_ms: Millis) {
        self.endpoints.retain(|_, endpoint| {
            let is_removed = endpoint.endpoint.state == EndpointState::Removed;
            let is_recent = now - endpoint.last_success_at() < after_success_ms;
            !is_removed || endpoint.in_flight > 0 || is_recent
        });
    }
}
