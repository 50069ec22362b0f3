use super::*;

fn node(id: NodeId) -> Node {
    Node {
        id,
        zone: id % 4,
        hash_key: u64::from(id),
    }
}

fn arc_of(nodes: NodeId, share: f64) -> RingArc {
    let mut arc = RingArc::new(evenly_spaced_position(3, 10), 2);
    for id in 0..nodes {
        arc.replace(None, Some(node(id)));
    }
    arc.resize(share, 0.0);
    arc.update();
    arc
}

#[test]
fn a_full_arc_has_all_nodes_sorted_by_id() {
    let arc = arc_of(100, 1.0);
    assert_eq!(arc.node_count(), 100);
    assert!(arc.members().iter().copied().eq(0..100));
}

#[test]
fn an_arc_has_about_its_share_of_the_nodes_and_the_minimum_of_each_zone() {
    let quarter = arc_of(1000, 0.25);
    assert!(
        (200..=300).contains(&quarter.members().len()),
        "{} members",
        quarter.members().len()
    );
    let empty = arc_of(1000, 0.0);
    assert_eq!(empty.members().len(), 4 * 2);
}

#[test]
fn members_change_only_with_nodes_on_the_arc() {
    let mut arc = arc_of(1000, 0.25);
    let before = arc.members().to_vec();
    let outside = (0..1000).find(|id| !before.contains(id)).unwrap();
    arc.replace(Some(node(outside)), None);
    assert!(!arc.update(), "a node outside the arc");
    arc.replace(Some(node(before[0])), None);
    assert!(arc.update(), "a member");
    assert_eq!(arc.members(), &before[1..]);
    arc.replace(None, Some(node(before[0])));
    arc.update();
    assert_eq!(arc.members(), before);
}

#[test]
fn small_changes_of_length_are_skipped_except_the_final_one_to_the_full_ring() {
    let mut arc = arc_of(1000, 0.9);
    arc.resize(0.95, 0.15);
    assert!(!arc.update());
    arc.resize(1.0, 0.15);
    assert!(arc.update());
    assert_eq!(arc.members().len(), 1000);
}

#[test]
fn each_process_has_its_own_position() {
    for count in [1, 2, 3, 10, 90, 720] {
        let mut positions: Vec<_> = (0..count)
            .map(|index| evenly_spaced_position(index, count))
            .collect();
        positions.sort_unstable();
        positions.dedup();
        assert_eq!(positions.len(), count as usize);
    }
}
