//! Model of the network between zones and regions: one-way delays and network partitions.

use crate::experiment::Topology;
use crate::{ms_to_micros, Micros};

pub(crate) struct Network {
    zones_per_region: u32,
    same_zone: Micros,
    same_region: Micros,
    cross_region: Micros,
    /// For each region, whether a partition separates the region from the others.
    partitioned: Vec<bool>,
}

impl Network {
    pub(crate) fn new(topology: &Topology) -> Self {
        Network {
            zones_per_region: topology.zones_per_region,
            same_zone: ms_to_micros(topology.same_zone_ms),
            same_region: ms_to_micros(topology.same_region_ms),
            cross_region: ms_to_micros(topology.cross_region_ms),
            partitioned: vec![false; topology.regions as usize],
        }
    }

    pub(crate) fn set_partitioned(&mut self, region: u32, partitioned: bool) {
        self.partitioned[region as usize] = partitioned;
    }

    /// One-way delay between two zones; `None` if a partition separates them.
    pub(crate) fn delay(&self, from_zone: u32, to_zone: u32) -> Option<Micros> {
        if from_zone == to_zone {
            return Some(self.same_zone);
        }
        let from_region = self.region(from_zone);
        let to_region = self.region(to_zone);
        if from_region == to_region {
            return Some(self.same_region);
        }
        if self.is_partitioned(from_region) || self.is_partitioned(to_region) {
            return None;
        }
        Some(self.cross_region)
    }

    fn region(&self, zone: u32) -> u32 {
        zone / self.zones_per_region
    }

    fn is_partitioned(&self, region: u32) -> bool {
        self.partitioned[region as usize]
    }
}
