//! Tests of the wire format of complete lists and changes.

use super::{EndpointList, EntryState, ListEntry};

fn entry(number: u16) -> ListEntry {
    ListEntry {
        id: format!("s-{number:08x}"),
        address: ([127, 0, 0, 1], number).into(),
        zone: "room-a".to_owned(),
        kind: "std".to_owned(),
        cell: number.into(),
        state: EntryState::Ready,
        weight: 1.0,
        started_ms: 0,
    }
}

#[test]
fn the_complete_list_has_the_wire_format() {
    let mut list = EndpointList::new(7);
    list.add_initial(entry(1));
    assert_eq!(
        list.complete_list(),
        "{\"version\":7,\"full\":true,\"servers\":[{\"id\":\"s-00000001\",\"addr\":\"127.0.0.1:1\",\"zone\":\"room-a\",\
         \"kind\":\"std\",\"cell\":1,\"state\":\"Ready\",\"weight\":1.0,\"started_ms\":0}]}"
    );
}

#[test]
fn changes_start_after_the_version_and_removed_entries_leave_the_complete_list() {
    let mut list = EndpointList::new(7);
    list.add_initial(entry(1));
    list.add(entry(2));
    list.set_state(0, EntryState::Draining);
    let changes = list.changes_after(8);
    assert!(
        changes.contains("\"version\":9,\"full\":false"),
        "{changes}"
    );
    assert!(changes.contains("\"state\":\"Terminating\""), "{changes}");
    assert!(!changes.contains("s-00000002"), "{changes}");
    assert!(list.changes_after(7).contains("s-00000002"));
    list.set_state(0, EntryState::Removed);
    assert!(list.changes_after(9).contains("\"state\":\"Gone\""));
    assert!(!list.complete_list().contains("s-00000001"));
    assert_eq!(list.entries().count(), 2);
}
