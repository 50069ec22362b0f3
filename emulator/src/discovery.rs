//! Model of discovery: the endpoint list, the sequence of its changes, and the delays until the gateways' agents
//! receive them.

use crate::experiment::DiscoveryModel;
use crate::{ms_to_micros, Micros};
use quota_gateway::{Endpoint, EndpointState};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHashMap;
use std::ops::RangeInclusive;

pub(crate) struct Discovery {
    /// The current entries, including removed endpoints.
    endpoints: Vec<Endpoint>,
    /// All changes, oldest first. The version of a list is the number of changes that it includes.
    changes: Vec<Endpoint>,
    propagation: RangeInclusive<Micros>,
    failure_detection: RangeInclusive<Micros>,
    rng: ChaCha8Rng,
    pub(crate) down: bool,
}

impl Discovery {
    pub(crate) fn new(model: &DiscoveryModel, endpoints: Vec<Endpoint>, rng: ChaCha8Rng) -> Self {
        Discovery {
            endpoints,
            changes: Vec::new(),
            propagation: delay_range(model.propagation_ms),
            failure_detection: delay_range(model.failure_detection_ms),
            rng,
            down: false,
        }
    }

    /// Draws the time until one agent receives a change.
    pub(crate) fn draw_propagation_delay(&mut self) -> Micros {
        self.rng.random_range(self.propagation.clone())
    }

    /// Draws the time until discovery detects that an endpoint has become unreachable.
    pub(crate) fn draw_detection_delay(&mut self) -> Micros {
        self.rng.random_range(self.failure_detection.clone())
    }

    /// Records a changed or new entry.
    pub(crate) fn record_change(&mut self, changed: Endpoint) {
        self.changes.push(changed.clone());
        match self
            .endpoints
            .iter_mut()
            .rev()
            .find(|endpoint| endpoint.id == changed.id)
        {
            Some(endpoint) => *endpoint = changed,
            None => self.endpoints.push(changed),
        }
    }

    /// The current version of the list.
    pub(crate) fn version(&self) -> usize {
        self.changes.len()
    }

    /// The current state of the entries that changed after the given version.
    pub(crate) fn changes_since(&self, version: usize) -> Vec<Endpoint> {
        let recent = &self.changes[version..];
        let mut last_change: FxHashMap<u32, usize> = FxHashMap::default();
        for (index, endpoint) in recent.iter().enumerate() {
            last_change.insert(endpoint.id, index);
        }
        let is_last = |(index, endpoint): &(usize, &Endpoint)| last_change[&endpoint.id] == *index;
        recent
            .iter()
            .enumerate()
            .filter(is_last)
            .map(|(_, endpoint)| endpoint.clone())
            .collect()
    }

    /// The current complete list, without removed endpoints.
    pub(crate) fn complete_list(&self) -> Vec<Endpoint> {
        let listed = |endpoint: &&Endpoint| endpoint.state != EndpointState::Removed;
        self.endpoints.iter().filter(listed).cloned().collect()
    }
}

fn delay_range([shortest_ms, longest_ms]: [f64; 2]) -> RangeInclusive<Micros> {
    ms_to_micros(shortest_ms)..=ms_to_micros(longest_ms)
}
