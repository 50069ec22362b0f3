//! Tests how endpoint lists change the ids, states and addresses of endpoints.

use super::{Endpoints, TopologyNames, REMOVED_ID_RETENTION};
use crate::discovery::list::{EndpointEntries, EndpointEntry, EndpointList, EntryState};
use crate::memory::MemoryBudget;
use crate::upstream::ConnectionPool;
use quota_gateway::{Endpoint, EndpointId, EndpointState};
use std::net::SocketAddr;
use std::time::Duration;

const NOW_MS: f64 = 1_700_000_000_000.0;

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9))
}

fn entry(name: &str, state: EntryState) -> EndpointEntry {
    EndpointEntry {
        id: name.to_owned(),
        addr: Some(address()),
        zone: "room-b".to_owned(),
        kind: "unknown".to_owned(),
        cell: 3,
        state,
        weight: 1.0,
        started_ms: 0.0,
    }
}

fn list(complete: bool, entries: Vec<EndpointEntry>) -> EndpointList {
    EndpointList {
        version: 1,
        complete,
        endpoints: EndpointEntries {
            valid: entries,
            invalid: 0,
        },
    }
}

/// The endpoints and the pool under test.
struct Fleet {
    endpoints: Endpoints,
    pool: ConnectionPool,
}

impl Fleet {
    fn new() -> Self {
        let topology = TopologyNames {
            zones: vec!["room-a".to_owned(), "room-b".to_owned()],
            kinds: vec!["std-2c".to_owned()],
        };
        Fleet {
            endpoints: Endpoints::new(topology),
            pool: ConnectionPool::new(8, 250.0, 30_000.0, MemoryBudget::new(usize::MAX)),
        }
    }

    fn address(&self, id: EndpointId) -> Option<SocketAddr> {
        self.pool.instance(id).map(|instance| instance.addr)
    }

    fn update(&mut self, complete: bool, entries: Vec<EndpointEntry>) -> Vec<Endpoint> {
        self.endpoints
            .update(list(complete, entries), &self.pool, NOW_MS)
    }
}

#[test]
fn entries_are_converted_to_the_terms_of_the_library() {
    let mut fleet = Fleet::new();
    let listed = fleet.update(true, vec![entry("s-1", EntryState::Terminating)]);
    assert_eq!(listed[0].state, EndpointState::Draining);
    assert_eq!(listed[0].zone, 1);
    assert_eq!(
        listed[0].kind, 1,
        "one past the last index for a name that is not in the settings"
    );
    assert_eq!(listed[0].cell, 3);
    assert!(!fleet.endpoints.any_ready());
}

/// A watch event reports that one endpoint begins to drain. The endpoint must keep its id and its address and get no
/// more requests, and the other endpoints must not change.
#[test]
fn a_change_keeps_ids_and_does_not_affect_other_endpoints() {
    let mut fleet = Fleet::new();
    let before = fleet.update(
        true,
        vec![
            entry("s-1", EntryState::Ready),
            entry("s-2", EntryState::Ready),
        ],
    );
    let after = fleet.update(false, vec![entry("s-1", EntryState::Terminating)]);
    assert_eq!(after[0].id, before[0].id);
    assert!(!fleet.endpoints.is_ready(before[0].id));
    assert!(fleet.endpoints.is_ready(before[1].id));
    assert_eq!(
        fleet.address(before[0].id),
        Some(address()),
        "a draining endpoint is still listed"
    );
}

/// An endpoint is removed while the watch is broken, so no event reports the removal. The next complete list does not
/// name the endpoint, which must get no more requests.
#[test]
fn a_complete_list_removes_endpoints_that_it_does_not_name() {
    let mut fleet = Fleet::new();
    let before = fleet.update(
        true,
        vec![
            entry("s-1", EntryState::Ready),
            entry("s-2", EntryState::Ready),
        ],
    );
    fleet.update(true, vec![entry("s-2", EntryState::Ready)]);
    assert!(!fleet.endpoints.is_ready(before[0].id));
    assert_eq!(fleet.address(before[0].id), None);
    assert!(fleet.endpoints.is_ready(before[1].id));
}

/// Late events may still name an endpoint after its removal. If another endpoint had the same id, outcomes of the
/// removed one would count for the other. An id must be kept while the library may remember the endpoint, and must
/// never be assigned again. Runs on the paused clock.
#[tokio::test(start_paused = true)]
async fn the_id_of_a_removed_endpoint_is_kept_temporarily_and_never_assigned_again() {
    let mut fleet = Fleet::new();
    let first = fleet.update(true, vec![entry("s-1", EntryState::Ready)])[0].id;
    fleet.update(false, vec![entry("s-1", EntryState::Gone)]);
    tokio::time::advance(REMOVED_ID_RETENTION - Duration::from_secs(1)).await;
    fleet.endpoints.drop_expired();
    assert_eq!(
        fleet.update(false, vec![entry("s-1", EntryState::Gone)])[0].id,
        first
    );
    tokio::time::advance(REMOVED_ID_RETENTION).await;
    fleet.endpoints.drop_expired();
    assert_ne!(
        fleet.update(false, vec![entry("s-1", EntryState::Ready)])[0].id,
        first
    );
}

/// The estimate of a start time holds for as long as the list states the same start: a repeated entry must not begin
/// slow start again.
#[test]
fn a_start_is_estimated_only_when_it_changes() {
    let mut fleet = Fleet::new();
    let entry_started = |started_ms| EndpointEntry {
        started_ms,
        ..entry("s-1", EntryState::Ready)
    };
    let old = NOW_MS - 3_600_000.0;
    assert_eq!(
        fleet.update(true, vec![entry_started(old)])[0].started_at,
        old
    );
    fleet.endpoints.mark_synced();
    assert_eq!(
        fleet.update(false, vec![entry_started(old)])[0].started_at,
        old
    );
    assert_eq!(
        fleet.update(false, vec![entry_started(old + 1000.0)])[0].started_at,
        NOW_MS
    );
    assert_eq!(
        fleet.update(true, vec![entry_started(old + 1000.0)])[0].started_at,
        NOW_MS
    );
    assert_eq!(
        fleet.update(true, vec![entry_started(0.0)])[0].started_at,
        0.0
    );
}

/// A process has gone, and discovery still lists it when another one has come up at its address. Requests for the one that
/// has gone would reach the other, which may be cold and does not know what the one before has executed.
#[test]
fn an_endpoint_at_whose_address_another_has_started_is_removed() {
    let started = |name, started_ms| EndpointEntry {
        started_ms,
        ..entry(name, EntryState::Ready)
    };
    for complete in [false, true] {
        let mut fleet = Fleet::new();
        let old = fleet.update(true, vec![started("s-1", NOW_MS - 2000.0)])[0].id;
        let mut entries = vec![started("s-2", NOW_MS - 1000.0)];
        if complete {
            entries.push(started("s-1", NOW_MS - 2000.0));
        }
        let updated = fleet.update(complete, entries);
        let state_of = |id| updated.iter().find(|e| e.id == id).map(|e| e.state);
        assert_eq!(state_of(old), Some(EndpointState::Removed));
        assert_eq!(state_of(old + 1), Some(EndpointState::Ready));
        assert!(!fleet.endpoints.is_ready(old) && fleet.endpoints.is_ready(old + 1));
        assert_eq!(fleet.address(old), None);
    }
}

/// Endpoints that are all listed as started long ago may share an address: none is known to be the later one.
#[test]
fn endpoints_that_started_long_ago_may_share_an_address() {
    let mut fleet = Fleet::new();
    let names = ["s-1", "s-2"];
    let listed = fleet.update(
        true,
        names.map(|name| entry(name, EntryState::Ready)).into(),
    );
    assert!(listed
        .iter()
        .all(|endpoint| fleet.endpoints.is_ready(endpoint.id)));
}
