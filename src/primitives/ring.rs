//! Subsetting by consistent hashing: a hash ring for each zone, and one arc of all these rings. Processes that add the
//! same nodes have the same rings.

use std::collections::{BTreeMap, BTreeSet};

/// Share of the ring between two processes of consecutive index (Fibonacci hashing): the golden ratio spreads any
/// number of them evenly.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;

/// The number of a node.
pub(crate) type NodeId = u32;

/// A node and what places it: the ring of its zone and a key that all processes see alike.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) struct Node {
    pub(crate) id: NodeId,
    pub(crate) zone: u32,
    pub(crate) key: u64,
}

/// The nodes on one arc of all rings. Of each zone, at least the first `min_per_zone` nodes from the start of the arc
/// are members, also those behind its end.
#[derive(Default)]
pub(crate) struct RingArc {
    zones: BTreeMap<u32, BTreeSet<(u64, NodeId)>>,
    /// Nodes on all rings.
    node_count: usize,
    start: u64,
    length: u64,
    /// The length as a share of a ring.
    share: f64,
    min_per_zone: usize,
    /// Sorted by id, as of the last update.
    members: Vec<NodeId>,
    /// The nodes on the arc may differ from `members`.
    is_stale: bool,
}

impl RingArc {
    /// An arc of no length.
    pub(crate) fn new(start: u64, min_per_zone: usize) -> Self {
        RingArc {
            start,
            min_per_zone,
            ..RingArc::default()
        }
    }

    /// Number of nodes on all rings.
    pub(crate) fn node_count(&self) -> usize {
        self.node_count
    }

    /// Puts `new` in the place of `old`; either may be absent.
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
        let position = position_of_key(node.key);
        let ring = self.zones.entry(node.zone).or_default();
        if ring.insert((position, node.id)) {
            self.node_count += 1;
            let zone_len = ring.len();
            self.note_change(position, zone_len);
        }
    }

    fn remove(&mut self, node: Node) {
        let position = position_of_key(node.key);
        let Some(ring) = self.zones.get_mut(&node.zone) else {
            return;
        };
        if ring.remove(&(position, node.id)) {
            self.node_count -= 1;
            let zone_len = ring.len();
            self.note_change(position, zone_len);
        }
    }

    /// A node at this position was added or removed; the zone now has `zone_len` nodes.
    fn note_change(&mut self, position: u64, zone_len: usize) {
        let is_on_arc = position.wrapping_sub(self.start) <= self.length;
        if is_on_arc || zone_len <= 2 * self.min_per_zone {
            self.is_stale = true;
        }
    }

    /// Makes the arc this share of a ring. Changes by up to `min_change` of its length are left out, except the last
    /// one to the full ring.
    pub(crate) fn resize(&mut self, share: f64, min_change: f64) {
        let becomes_full = share >= 1.0 && self.share < 1.0;
        if becomes_full || (share - self.share).abs() > self.share * min_change {
            self.share = share;
            self.length = arc_length(share);
            self.is_stale = true;
        }
    }

    /// Brings the members up to date; true if they may have changed.
    pub(crate) fn update(&mut self) -> bool {
        if self.is_stale {
            self.members = self.find_members();
        }
        std::mem::take(&mut self.is_stale)
    }

    /// The members as of the last update, sorted by their numbers.
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

/// The length of an arc that covers this share of a ring.
fn arc_length(share: f64) -> u64 {
    (share.clamp(0.0, 1.0) * u64::MAX as f64) as u64
}

/// The position of the process of this index among `count` that are spaced evenly. Consecutive indexes are far apart.
pub(crate) fn evenly_spaced_position(index: u32, count: u32) -> u64 {
    let count = u64::from(count.max(1));
    // A step without a common divisor visits each position once.
    let ideal_step = ((count as f64 * GOLDEN_RATIO) as u64).max(1);
    let candidates = ideal_step..=ideal_step + count;
    let step = candidates
        .into_iter()
        .find(|step| greatest_common_divisor(*step, count) == 1)
        .unwrap_or(1);
    arc_length((u64::from(index) * step % count) as f64 / count as f64)
}

/// Mixes the bits of a key, as keys may be consecutive numbers (the finalizer of `SplitMix64`).
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
