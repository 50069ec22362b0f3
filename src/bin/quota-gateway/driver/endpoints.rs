//! The states and start times of the listed endpoints, by the library's ids. The connection pool holds their addresses.

use super::endpoint_ids::{EndpointIds, REMOVED_ID_RETENTION};
use super::start_times::StartTimes;
use super::topology::TopologyNames;
use crate::discovery::list::{EndpointEntry, EndpointList, EntryState};
use crate::upstream::{ConnectionPool, Instance};
use quota_gateway::{Endpoint, EndpointId, EndpointState};
use std::collections::{HashMap, HashSet};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

#[cfg(test)]
mod tests;

/// The listed endpoints, and those removed at most `REMOVED_ID_RETENTION` ago.
pub struct Endpoints {
    ids: EndpointIds,
    /// States of the endpoints that are listed with an address and not removed.
    states: HashMap<EndpointId, EndpointState>,
    ready_count: usize,
    /// Time at which an endpoint stopped being ready, for endpoints that are draining or were removed.
    not_ready_since: HashMap<EndpointId, Instant>,
    /// Start times in Unix milliseconds, for ready endpoints that did not start long ago.
    started_at: HashMap<EndpointId, f64>,
    topology: TopologyNames,
    start_times: StartTimes,
}

impl Endpoints {
    /// Creates an empty set; the first list adds endpoints.
    pub fn new(topology: TopologyNames) -> Self {
        Endpoints {
            ids: EndpointIds::default(),
            states: HashMap::new(),
            ready_count: 0,
            not_ready_since: HashMap::new(),
            started_at: HashMap::new(),
            topology,
            start_times: StartTimes::default(),
        }
    }

    /// True if the endpoint accepts new requests.
    pub fn is_ready(&self, id: EndpointId) -> bool {
        self.states.get(&id) == Some(&EndpointState::Ready)
    }

    /// True if any endpoint accepts new requests.
    pub fn any_ready(&self) -> bool {
        self.ready_count > 0
    }

    /// Number of endpoints that accept new requests.
    pub fn ready_count(&self) -> usize {
        self.ready_count
    }

    /// Time at which the endpoint stopped accepting new requests; `None` if it accepts them, or was removed longer ago
    /// than `REMOVED_ID_RETENTION`.
    pub fn not_ready_since(&self, id: EndpointId) -> Option<Instant> {
        self.not_ready_since.get(&id).copied()
    }

    /// Start time of a ready endpoint in Unix milliseconds; `None` if that is long past.
    pub fn started_at(&self, id: EndpointId) -> Option<f64> {
        self.started_at.get(&id).copied()
    }

    /// Forgets endpoints that were removed longer ago than `REMOVED_ID_RETENTION`.
    pub fn drop_expired(&mut self) {
        self.ids.drop_expired();
        self.not_ready_since.retain(|id, since| {
            self.states.contains_key(id) || since.elapsed() < REMOVED_ID_RETENTION
        });
    }

    fn record_state(&mut self, id: EndpointId, state: EndpointState, started_at: f64) {
        if state == EndpointState::Ready {
            self.not_ready_since.remove(&id);
        } else {
            self.not_ready_since.entry(id).or_insert_with(Instant::now);
        }
        if state == EndpointState::Ready && started_at > 0.0 {
            self.started_at.insert(id, started_at);
        } else {
            self.started_at.remove(&id);
        }
    }

    /// Records that discovery has reported all changes up to now.
    pub fn mark_synced(&mut self) {
        self.start_times.mark_synced();
    }

    /// Applies a list, and updates the addresses in the pool. Returns the entries in the library's terms. `now_ms` is
    /// the current Unix time by the library's clock.
    pub fn update(
        &mut self,
        list: EndpointList,
        pool: &ConnectionPool,
        now_ms: f64,
    ) -> Vec<Endpoint> {
        let mut endpoints = Vec::with_capacity(list.endpoints.valid.len());
        for entry in list.endpoints.valid {
            endpoints.push(self.update_entry(entry, pool, now_ms));
        }
        self.remove_replaced(&mut endpoints, pool);
        if list.complete {
            self.remove_unlisted(&endpoints, pool);
        }
        self.ready_count = self
            .states
            .values()
            .filter(|state| **state == EndpointState::Ready)
            .count();
        endpoints
    }

    fn update_entry(
        &mut self,
        entry: EndpointEntry,
        pool: &ConnectionPool,
        now_ms: f64,
    ) -> Endpoint {
        let state = endpoint_state(entry.state);
        let hash_key = xxh3_64(entry.id.as_bytes());
        let estimate = || self.start_times.estimate(entry.started_ms, now_ms);
        let is_removed = state == EndpointState::Removed;
        let (id, started_at) =
            self.ids
                .record_entry(entry.id, is_removed, entry.started_ms, estimate);
        self.record_state(id, state, started_at);
        match entry.addr {
            Some(addr) if !is_removed => {
                self.states.insert(id, state);
                let started_ms = entry.started_ms;
                pool.set_instance(id, Instance { addr, started_ms });
            }
            _ => {
                self.states.remove(&id);
                pool.remove(id);
            }
        }
        Endpoint {
            id,
            hash_key,
            zone: self.topology.zone_index(&entry.zone),
            kind: self.topology.kind_index(&entry.kind),
            cell: entry.cell,
            state,
            weight: entry.weight,
            started_at,
        }
    }

    /// Removes endpoints at whose address another one has started since. `updated` are the entries of the current list.
    ///
    /// Guards against a process that has gone and that discovery still lists: requests for it would reach the process
    /// that has come up at its address, and count as executed at an endpoint that does not know them.
    fn remove_replaced(&mut self, updated: &mut Vec<Endpoint>, pool: &ConnectionPool) {
        let instances = updated
            .iter()
            .filter_map(|endpoint| pool.instance(endpoint.id));
        let addresses = instances.map(|instance| instance.addr).collect();
        let replaced = pool.replaced_at(&addresses);
        updated.retain(|endpoint| !replaced.contains(&endpoint.id));
        for id in replaced {
            pool.remove(id);
            self.states.remove(&id);
            self.not_ready_since.entry(id).or_insert_with(Instant::now);
            self.started_at.remove(&id);
            updated.push(Endpoint {
                id,
                hash_key: 0,
                zone: 0,
                kind: 0,
                cell: 0,
                state: EndpointState::Removed,
                weight: 0.0,
                started_at: 0.0,
            });
        }
    }

    /// Removes the endpoints that are missing from a complete list.
    fn remove_unlisted(&mut self, listed: &[Endpoint], pool: &ConnectionPool) {
        let listed: HashSet<_> = listed.iter().map(|endpoint| endpoint.id).collect();
        self.ids.mark_unlisted_removed(&listed);
        self.states.retain(|id, _| {
            let is_listed = listed.contains(id);
            if !is_listed {
                pool.remove(*id);
                self.not_ready_since.entry(*id).or_insert_with(Instant::now);
                self.started_at.remove(id);
            }
            is_listed
        });
    }
}

fn endpoint_state(state: EntryState) -> EndpointState {
    match state {
        EntryState::Ready => EndpointState::Ready,
        EntryState::Terminating => EndpointState::Draining,
        EntryState::Gone => EndpointState::Removed,
    }
}
