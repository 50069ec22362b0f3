//! Which lists apply.

use super::ListUpdates;
use crate::discovery::list::{EndpointEntries, EndpointList};
use crate::discovery::EndpointListHandler;
use std::cell::RefCell;
use std::rc::Rc;

/// Records the versions that it gets.
#[derive(Default)]
struct Versions(RefCell<Vec<u64>>);

impl EndpointListHandler for Versions {
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

/// Two calls fetch the list at a time, and the older list arrives last. Applied, it would revive endpoints that drain
/// by the newer one. It changes nothing, unless a change was missed: then any complete list applies, as another
/// discovery may number its versions differently.
#[test]
fn a_fetched_list_older_than_the_present_one_changes_nothing() {
    let versions = Rc::new(Versions::default());
    let updates = ListUpdates::new(7, versions.clone());
    updates.mark_incomplete();
    // Another discovery may count from elsewhere.
    updates.apply_fetched(list(3, true));
    updates.apply_fetched(list(5, true));
    updates.apply_fetched(list(4, true));
    updates.apply_fetched(list(5, true));
    assert_eq!(*versions.0.borrow(), [3, 5, 5]);
    assert_eq!(updates.version(), 5);
}

/// A watch sends a change that is older than the list, as after a restart of discovery from old data. Applied, it would
/// undo newer changes. It changes nothing, and the complete list is fetched, which applies whatever its version.
#[test]
fn a_stale_change_on_a_watch_has_the_complete_list_fetched() {
    let versions = Rc::new(Versions::default());
    let updates = ListUpdates::new(7, versions.clone());
    assert!(updates.apply_watched(list(6, false)).is_err());
    assert!(updates.is_incomplete());
    updates
        .apply_watched(list(2, true))
        .expect("a complete list applies");
    assert!(!updates.is_incomplete());
    assert_eq!(*versions.0.borrow(), [2]);
}
