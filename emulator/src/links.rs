//! Links between zones and regions, and cuts of them.

use crate::experiment::Topology;
use crate::{micros, Micros};

pub(crate) struct Links {
    zones_per_region: u32,
    zone: Micros,
    region: Micros,
    far: Micros,
    /// Regions that no bytes pass into or out of.
    cut: Vec<bool>,
}

impl Links {
    pub(crate) fn new(topology: &Topology) -> Self {
        Links {
            zones_per_region: topology.zones_per_region,
            zone: micros(topology.zone_ms),
            region: micros(topology.region_ms),
            far: micros(topology.far_ms),
            cut: vec![false; topology.regions as usize],
        }
    }

    pub(crate) fn region(&self, zone: u32) -> u32 {
        zone / self.zones_per_region
    }

    pub(crate) fn set_cut(&mut self, region: u32, cut: bool) {
        self.cut[region as usize] = cut;
    }

    /// How long bytes take from one zone to another; none if they don't pass.
    pub(crate) fn way(&self, from: u32, to: u32) -> Option<Micros> {
        let (a, b) = (self.region(from), self.region(to));
        match (from == to, a == b) {
            (true, _) => Some(self.zone),
            (_, true) => Some(self.region),
            _ if self.cut[a as usize] || self.cut[b as usize] => None,
            _ => Some(self.far),
        }
    }
}
