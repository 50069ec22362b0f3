//! The endpoints as the list names them: their ids and states. Their addresses are the connection pool's.

use super::start_times::StartTimes;
use crate::discovery::list::{EndpointEntry, EndpointList, EntryState};
use crate::upstream::ConnectionPool;
use quota_gateway::{Endpoint, EndpointId, EndpointState};
use std::collections::{HashMap, HashSet};
use std::time::Duration;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

#[cfg(test)]
mod tests;

/// The id of a removed endpoint is remembered for this long: longer than the decision library remembers it.
const REMOVED_ID_RETENTION: Duration = Duration::from_secs(90);

/// The names of zones and kinds, in the order of the settings.
pub struct TopologyNames {
    /// Zones.
    pub zones: Vec<String>,
    /// Kinds of servers.
    pub kinds: Vec<String>,
}

/// The decision library's ids of endpoints, by the names in the list. No id is assigned twice. The id of a removed
/// endpoint is kept while the library may remember it and then dropped, as names are never reused.
#[derive(Default)]
struct EndpointIds {
    last_id: EndpointId,
    assigned: HashMap<String, AssignedId>,
}

struct AssignedId {
    id: EndpointId,
    start: Start,
    /// When the endpoint was removed, if it was.
    removed_at: Option<Instant>,
}

/// When an endpoint started, in Unix milliseconds; 0 if that is long past.
#[derive(Clone, Copy)]
struct Start {
    /// As the list has it.
    listed_ms: f64,
    /// As it is taken.
    judged_ms: f64,
}

impl EndpointIds {
    /// The id of an endpoint that the list names, as removed or not, and when it started. `judge` tells that for a
    /// start that is news.
    fn get_or_assign(
        &mut self,
        name: String,
        removed: bool,
        listed_ms: f64,
        judge: impl FnOnce() -> f64,
    ) -> (EndpointId, f64) {
        let removed_at = removed.then(Instant::now);
        let assigned = self.assigned.entry(name).or_insert_with(|| {
            self.last_id += 1;
            AssignedId {
                id: self.last_id,
                start: Start {
                    listed_ms: 0.0,
                    judged_ms: 0.0,
                },
                removed_at,
            }
        });
        if listed_ms > assigned.start.listed_ms {
            assigned.start = Start {
                listed_ms,
                judged_ms: judge(),
            };
        }
        assigned.removed_at = removed_at;
        let started_ms = if listed_ms > 0.0 {
            assigned.start.judged_ms
        } else {
            listed_ms
        };
        (assigned.id, started_ms)
    }

    /// Marks all endpoints as removed that a complete list does not name.
    fn mark_unlisted_removed(&mut self, listed: &HashSet<EndpointId>) {
        for assigned in self.assigned.values_mut() {
            if assigned.removed_at.is_none() && !listed.contains(&assigned.id) {
                assigned.removed_at = Some(Instant::now());
            }
        }
    }

    fn drop_expired(&mut self) {
        let is_kept = |removed_at: Instant| removed_at.elapsed() < REMOVED_ID_RETENTION;
        self.assigned
            .retain(|_, assigned| assigned.removed_at.is_none_or(is_kept));
    }
}

/// All listed endpoints.
pub struct Endpoints {
    ids: EndpointIds,
    /// The states of those that are listed with an address and not removed.
    states: HashMap<EndpointId, EndpointState>,
    /// How many of them are ready.
    ready_count: usize,
    /// Since when those are not ready that drain or were removed.
    not_ready_since: HashMap<EndpointId, Instant>,
    /// When those started that are ready and did not start long ago, in Unix milliseconds.
    started_at: HashMap<EndpointId, f64>,
    topology: TopologyNames,
    start_times: StartTimes,
}

impl Endpoints {
    /// None is known until a list comes.
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

    /// True if an endpoint takes new requests.
    pub fn is_ready(&self, id: EndpointId) -> bool {
        self.states.get(&id) == Some(&EndpointState::Ready)
    }

    /// True if any endpoint takes new requests.
    pub fn any_ready(&self) -> bool {
        self.ready_count > 0
    }

    /// How many endpoints take new requests.
    pub fn ready_count(&self) -> usize {
        self.ready_count
    }

    /// Since when an endpoint takes no new requests; none if it does, or it was removed long ago.
    pub fn not_ready_since(&self, id: EndpointId) -> Option<Instant> {
        self.not_ready_since.get(&id).copied()
    }

    /// When a ready endpoint started, in Unix milliseconds; none if that is long past.
    pub fn started_at(&self, id: EndpointId) -> Option<f64> {
        self.started_at.get(&id).copied()
    }

    /// Forgets endpoints that were removed long ago.
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

    /// Discovery has reported all changes up to now.
    pub fn synced(&mut self) {
        self.start_times.synced();
    }

    /// Applies a list, also to the pool's addresses. Returns the entries in the library's terms; `now_ms` is the
    /// present Unix time there.
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
        let judge = || self.start_times.judge(entry.started_ms, now_ms);
        let is_removed = state == EndpointState::Removed;
        let (id, started_at) =
            self.ids
                .get_or_assign(entry.id, is_removed, entry.started_ms, judge);
        self.record_state(id, state, started_at);
        match entry.addr {
            Some(addr) if !is_removed => {
                self.states.insert(id, state);
                pool.set_address(id, addr);
            }
            _ => {
                self.states.remove(&id);
                pool.remove(id);
            }
        }
        Endpoint {
            id,
            hash_key,
            zone: index_of(&self.topology.zones, &entry.zone),
            kind: index_of(&self.topology.kinds, &entry.kind),
            cell: entry.cell,
            state,
            weight: entry.weight,
            started_at,
        }
    }

    /// What a complete list does not name is gone.
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

/// The index of a name in the settings; one past the last for a name that they don't have.
fn index_of(names: &[String], name: &str) -> u32 {
    names
        .iter()
        .position(|known| known == name)
        .unwrap_or(names.len()) as u32
}
