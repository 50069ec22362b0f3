//! Backends on a ring for each zone, by a key that all gateways see alike, and arcs of it. A data structure: nothing
//! here decides anything.

use crate::api::EndpointId;
use std::collections::{BTreeMap, BTreeSet};

/// Part of a whole turn between two gateways that follow each other in number.
const TURN: f64 = 0.618_033_988_749_895;

/// The rings.
#[derive(Default)]
pub(crate) struct Ring {
    zones: BTreeMap<u32, BTreeSet<(u64, EndpointId)>>,
    len: usize,
}

/// The place of a key on its ring: keys may be small numbers in a row.
fn place(key: u64) -> u64 {
    let mixed = (key ^ key >> 30).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let mixed = (mixed ^ mixed >> 27).wrapping_mul(0x94D0_49BB_1331_11EB);
    mixed ^ mixed >> 31
}

/// A share of a whole turn, as places go.
pub(crate) fn turn(share: f64) -> u64 {
    (share.clamp(0.0, 1.0) * u64::MAX as f64) as u64
}

/// Where the gateway of this number begins among so many. The places are even, and gateways whose numbers follow each
/// other lie far apart: customers come through gateways in a row, and these must not share their backends.
pub(crate) fn begin(number: u32, count: u32) -> u64 {
    let count = u64::from(count.max(1));
    let gcd = |mut a: u64, mut b: u64| {
        while b > 0 {
            (a, b) = (b, a % b);
        }
        a
    };
    // A step that visits each place once, a golden section as nearly as can be.
    let first = ((count as f64 * TURN) as u64).max(1);
    let step = (first..=first + count).find(|step| gcd(*step, count) == 1).unwrap_or(1);
    turn((u64::from(number) * step % count) as f64 / count as f64)
}

impl Ring {
    /// Backends on all rings.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Puts a backend on its ring or takes it off. Its place and how many are there now, if that changes anything.
    pub(crate) fn set(&mut self, zone: u32, key: u64, id: EndpointId, on: bool) -> Option<(u64, usize)> {
        let (ring, place) = (self.zones.entry(zone).or_default(), place(key));
        let changed = if on { ring.insert((place, id)) } else { ring.remove(&(place, id)) };
        changed.then(|| {
            self.len = if on { self.len + 1 } else { self.len - 1 };
            (place, ring.len())
        })
    }

    /// Those of all rings within the arc, and at least so many behind its begin on each, in the order of their numbers.
    pub(crate) fn arc(&self, begin: u64, length: u64, least: usize) -> Vec<EndpointId> {
        let mut found = Vec::new();
        for ring in self.zones.values() {
            let behind = ring.range((begin, 0)..).chain(ring.range(..(begin, 0)));
            let inside = |(n, (place, _)): &(usize, &(u64, EndpointId))| {
                *n < least || place.wrapping_sub(begin) <= length
            };
            found.extend(behind.enumerate().take_while(inside).map(|(_, (_, id))| *id));
        }
        found.sort_unstable();
        found
    }
}
