//! Subsetting by consistent hashing: a hash ring for each zone, and one arc that is cut from all of these rings.
//! Processes that add the same nodes have the same rings.

use std::collections::{BTreeMap, BTreeSet};

/// Distance between the positions of two processes of consecutive index, as a share of the ring (Fibonacci hashing):
/// steps of the golden ratio spread any number of processes evenly.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;

/// The number that identifies a node.
pub(crate) type NodeId = u32;

/// A node and its place: the ring of its zone, and a key that is the same for all processes.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) struct Node {
    pub(crate) id: NodeId,
    pub(crate) zone: u32,
    pub(crate) hash_key: u64,
}

/// The nodes on the same arc of all rings. Of each zone, at least the first `min_per_zone` nodes from the start of the
/// arc are members, even if they are beyond its end.
#[derive(Default)]
pub(crate) struct RingArc {
    zones: BTreeMap<u32, BTreeSet<(u64, NodeId)>>,
    /// Number of nodes on all rings.
    node_count: usize,
    start: u64,
    length: u64,
    /// Length of the arc as a share of a ring.
    share: f64,
    min_per_zone: usize,
    /// Members as of the last update, sorted by id.
    members: Vec<NodeId>,
    /// True if the nodes on the arc may differ from `members`.
    is_stale: bool,
}

impl RingArc {
    /// Creates an arc of length 0.
    pub(crate) fn new(start: u64, min_per_zone: usize) -> Self {
        RingArc {
            start,
            min_per_zone,
            ..RingArc::default()
        }
    }

    /// Returns the number of nodes on all rings.
    pub(crate) fn node_count(&self) -> usize {
        self.node_count
    }

    /// Replaces the node `old` by `new`; either may be absent.
    #[inline]
    pub(crate) fn replace(&mut self, old: Option<Node>, new: Option<Node>) {
        if old == new {
            return;
        }
        if let Some(node) = old {
            self.remove(node);
        }
        if let Some(node) = new {
            self.insert(node);
        }
    }

    fn insert(&mut self, node: Node) {
        let position = position_of_key(node.hash_key);
        let ring = self.zones.entry(node.zone).or_default();
        if ring.insert((position, node.id)) {
            self.node_count += 1;
            let zone_len = ring.len();
            self.mark_stale_if_affected(position, zone_len);
        }
    }

    fn remove(&mut self, node: Node) {
        let position = position_of_key(node.hash_key);
        let Some(ring) = self.zones.get_mut(&node.zone) else {
            return;
        };
        if ring.remove(&(position, node.id)) {
            self.node_count -= 1;
            let zone_len = ring.len();
            self.mark_stale_if_affected(position, zone_len);
        }
    }

    /// Marks the members as stale if a node added or removed at this position may be among them. The zone now has
    /// `zone_len` nodes.
    fn mark_stale_if_affected(&mut self, position: u64, zone_len: usize) {
        let is_on_arc = position.wrapping_sub(self.start) <= self.length;
        if is_on_arc || zone_len <= 2 * self.min_per_zone {
            self.is_stale = true;
        }
    }

    /// Sets the length of the arc to this share of a ring. Changes by up to `min_change` of its length are skipped,
    /// except the final one to the full ring.
    pub(crate) fn resize(&mut self, share: f64, min_change: f64) {
        let becomes_full = share >= 1.0 && self.share < 1.0;
        if becomes_full || (share - self.share).abs() > self.share * min_change {
            self.share = share;
            self.length = arc_length(share);
            self.is_stale = true;
        }
    }

    /// Updates the members; returns true if they may have changed.
    pub(crate) fn update(&mut self) -> bool {
        if self.is_stale {
            self.members = self.find_members();
        }
        std::mem::take(&mut self.is_stale)
    }

    /// Returns the members as of the last update, sorted by id.
    pub(crate) fn members(&self) -> &[NodeId] {
        &self.members
    }

    fn find_members(&self) -> Vec<NodeId> {
        let mut members = Vec::new();
        for ring in self.zones.values() {
            let from_start = ring.range((self.start, 0)..);
            let wrapped_around = ring.range(..(self.start, 0));
            for (index, (position, id)) in from_start.chain(wrapped_around).enumerate() {
                let is_on_arc = position.wrapping_sub(self.start) <= self.length;
                if index >= self.min_per_zone && !is_on_arc {
                    break;
                }
                members.push(*id);
            }
        }
        members.sort_unstable();
        members
    }
}

/// Returns the length of an arc that covers this share of a ring.
fn arc_length(share: f64) -> u64 {
    (share.clamp(0.0, 1.0) * u64::MAX as f64) as u64
}

/// Returns the position of the process with this index among `count` processes that are spaced evenly. Consecutive
/// indexes are far apart.
pub(crate) fn evenly_spaced_position(index: u32, count: u32) -> u64 {
    let count = u64::from(count.max(1));
    // A step that has no common divisor with `count` visits each position once.
    let ideal_step = ((count as f64 * GOLDEN_RATIO) as u64).max(1);
    let candidates = ideal_step..=ideal_step + count;
    let step = candidates
        .into_iter()
        .find(|step| greatest_common_divisor(*step, count) == 1)
        .unwrap_or(1);
    arc_length((u64::from(index) * step % count) as f64 / count as f64)
}

/// Returns the position of a key on its ring. Mixes the bits of the key (the finalizer of `SplitMix64`), as keys may be
/// consecutive numbers.
fn position_of_key(key: u64) -> u64 {
    let mixed = (key ^ key >> 30).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let mixed = (mixed ^ mixed >> 27).wrapping_mul(0x94D0_49BB_1331_11EB);
    mixed ^ mixed >> 31
}

fn greatest_common_divisor(mut larger: u64, mut smaller: u64) -> u64 {
    while smaller > 0 {
        let remainder = larger % smaller;
        larger = smaller;
        smaller = remainder;
    }
    larger
}

#[cfg(test)]
mod tests;
