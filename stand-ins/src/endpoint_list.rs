//! The endpoint list without its sockets: entries, versions, and the text that discovery sends.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The state of an endpoint in the list, by its name on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryState {
    /// It takes requests.
    Ready,
    /// It drains: nothing new may be sent to it after the grace time.
    #[serde(rename = "Terminating")]
    Draining,
    /// It was removed.
    #[serde(rename = "Gone")]
    Removed,
}

/// One entry of the list.
#[derive(Clone, Debug, Serialize)]
pub struct ListEntry {
    /// The endpoint's id.
    pub id: String,
    /// Where it listens.
    #[serde(rename = "addr")]
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its kind of machine.
    pub kind: String,
    /// Its cell.
    pub cell: u32,
    /// Its state.
    pub state: EntryState,
    /// Its weight among the others.
    pub weight: f64,
    /// When it started, in ms since 1970; 0 if that is long past.
    pub started_ms: u64,
}

/// The list and its version.
#[derive(Debug)]
pub struct EndpointList {
    version: u64,
    entries: Vec<VersionedEntry>,
}

#[derive(Debug)]
struct VersionedEntry {
    entry: ListEntry,
    changed_in: u64,
}

/// The list, or a change of it, on the wire.
#[derive(Serialize)]
struct ListUpdate<'a> {
    version: u64,
    #[serde(rename = "full")]
    is_complete: bool,
    #[serde(rename = "servers")]
    entries: Vec<&'a ListEntry>,
}

impl EndpointList {
    /// An empty list of this version.
    #[must_use]
    pub fn new(version: u64) -> Self {
        EndpointList {
            version,
            entries: Vec::new(),
        }
    }

    /// The version of the list.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// All entries, those that were removed included, in the order in which they were added.
    pub fn entries(&self) -> impl Iterator<Item = &ListEntry> {
        self.entries.iter().map(|versioned| &versioned.entry)
    }

    /// Adds an entry that belongs to the present version.
    pub fn add_initial(&mut self, entry: ListEntry) {
        self.entries.push(VersionedEntry {
            entry,
            changed_in: self.version,
        });
    }

    /// Adds an entry, in a new version.
    pub fn add(&mut self, entry: ListEntry) {
        self.version += 1;
        self.add_initial(entry);
    }

    /// Changes the state of the entry that was added as number `index`, in a new version.
    ///
    /// # Panics
    ///
    /// Panics if there is no such entry.
    pub fn set_state(&mut self, index: usize, state: EntryState) {
        self.version += 1;
        let versioned = &mut self.entries[index];
        versioned.entry.state = state;
        versioned.changed_in = self.version;
    }

    /// The complete list, as discovery writes it.
    #[must_use]
    pub fn complete_list(&self) -> String {
        let present = |versioned: &VersionedEntry| versioned.entry.state != EntryState::Removed;
        self.write(true, present)
    }

    /// What changed after a version, as discovery writes it.
    #[must_use]
    pub fn changes_after(&self, version: u64) -> String {
        self.write(false, |versioned| versioned.changed_in > version)
    }

    fn write(&self, is_complete: bool, is_named: impl Fn(&VersionedEntry) -> bool) -> String {
        let named = self.entries.iter().filter(|versioned| is_named(versioned));
        let update = ListUpdate {
            version: self.version,
            is_complete,
            entries: named.map(|versioned| &versioned.entry).collect(),
        };
        // Plain fields can always be written.
        serde_json::to_string(&update).unwrap_or_default()
    }
}

#[cfg(test)]
mod tests;
