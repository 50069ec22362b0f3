//! Tests of which lists apply.

use super::ListUpdates;
use crate::discovery::list::{EndpointEntries, EndpointList};
use crate::discovery::EndpointListHandler;
use std::cell::RefCell;
use std::rc::Rc;

/// A handler that records the versions of the lists it receives.
#[derive(Default)]
struct VersionRecorder(RefCell<Vec<u64>>);

impl EndpointListHandler for VersionRecorder {
    fn endpoint_list_changed(self: Rc<Self>, list: EndpointList) {
        self.0.borrow_mut().push(list.version);
    }

    fn discovery_synced(&self) {}
}

fn list(version: u64, complete: bool) -> EndpointList {
    EndpointList {
        version,
        complete,
        endpoints: EndpointEntries::default(),
    }
}

/// Guards against an older list that arrives last when two calls fetch the list concurrently. Applied, it would make
/// endpoints ready that are draining in the newer list. An older list is ignored, unless a change was missed: then any
/// complete list applies, because another discovery service may number its versions differently.
#[test]
fn a_fetched_list_older_than_the_current_one_changes_nothing() {
    let versions = Rc::new(VersionRecorder::default());
    let updates = ListUpdates::new(7, versions.clone());
    updates.mark_incomplete();
    // Another discovery service may use lower version numbers.
    updates.apply_fetched(list(3, true));
    updates.apply_fetched(list(5, true));
    updates.apply_fetched(list(4, true));
    updates.apply_fetched(list(5, true));
    assert_eq!(*versions.0.borrow(), [3, 5, 5]);
    assert_eq!(updates.version(), 5);
}

/// Guards against a watch event older than the current list, for instance after a restart of discovery from old data.
/// Applied, it would undo newer changes. The event is ignored and the complete list is fetched, which applies whatever
/// version it has.
#[test]
fn a_stale_change_on_a_watch_requires_the_complete_list() {
    let versions = Rc::new(VersionRecorder::default());
    let updates = ListUpdates::new(7, versions.clone());
    assert!(updates.apply_watched(list(6, false)).is_err());
    assert!(updates.is_incomplete());
    updates
        .apply_watched(list(2, true))
        .expect("a complete list applies");
    assert!(!updates.is_incomplete());
    assert_eq!(*versions.0.borrow(), [2]);
}
