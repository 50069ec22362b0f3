//! Discovery: the list, its changes in order, and when each gateway's agent has them.

use crate::experiment::Discovery as Model;
use crate::{micros, Micros};
use quota_gateway::{Endpoint, EndpointState};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHashMap;

pub(crate) struct Discovery {
    /// The whole list now, by number, as discovery knows it.
    list: Vec<Endpoint>,
    /// All changes, oldest first; a gateway's version is how many it has.
    changes: Vec<Endpoint>,
    notice: [Micros; 2],
    vanished: [Micros; 2],
    rng: ChaCha8Rng,
    pub(crate) down: bool,
}

impl Discovery {
    pub(crate) fn new(model: &Model, list: Vec<Endpoint>, rng: ChaCha8Rng) -> Self {
        Discovery {
            list,
            changes: Vec::new(),
            notice: model.notice_ms.map(micros),
            vanished: model.vanished_ms.map(micros),
            rng,
            down: false,
        }
    }

    /// Time until one agent has a change.
    pub(crate) fn notice(&mut self) -> Micros {
        self.rng.random_range(self.notice[0]..=self.notice[1])
    }

    /// Time until discovery knows of one that vanished.
    pub(crate) fn vanished(&mut self) -> Micros {
        self.rng.random_range(self.vanished[0]..=self.vanished[1])
    }

    pub(crate) fn change(&mut self, entry: Endpoint) {
        let id = entry.id;
        self.changes.push(entry.clone());
        match self.list.iter_mut().rev().find(|e| e.id == id) {
            Some(old) => *old = entry,
            None => self.list.push(entry),
        }
    }

    pub(crate) fn version(&self) -> usize {
        self.changes.len()
    }

    /// The entries that changed after this version, each as it is now.
    pub(crate) fn since(&self, version: usize) -> Vec<Endpoint> {
        let mut last: FxHashMap<u32, usize> = FxHashMap::default();
        for place in version..self.changes.len() {
            last.insert(self.changes[place].id, place);
        }
        (version..self.changes.len())
            .filter(|place| last[&self.changes[*place].id] == *place)
            .map(|place| self.changes[place].clone())
            .collect()
    }

    /// The whole list, without what is gone.
    pub(crate) fn whole(&self) -> Vec<Endpoint> {
        self.list.iter().filter(|entry| entry.state != EndpointState::Removed).cloned().collect()
    }
}
