//! The endpoint list: entries, versions, and the wire format in which discovery sends it.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The state of an endpoint in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryState {
    /// The endpoint accepts requests.
    Ready,
    /// The endpoint is draining: no new requests may be sent to it after the grace period.
    #[serde(rename = "Terminating")]
    Draining,
    /// The endpoint was removed.
    #[serde(rename = "Gone")]
    Removed,
}

/// An entry of the list.
#[derive(Clone, Debug, Serialize)]
pub struct ListEntry {
    /// Id of the endpoint.
    pub id: String,
    /// Address on which the endpoint listens.
    #[serde(rename = "addr")]
    pub address: SocketAddr,
    /// Zone of the endpoint.
    pub zone: String,
    /// Machine type of the endpoint.
    pub kind: String,
    /// Cell of the endpoint.
    pub cell: u32,
    /// State of the endpoint.
    pub state: EntryState,
    /// Weight of the endpoint relative to the other endpoints.
    pub weight: f64,
    /// Start time of the endpoint, in ms since the Unix epoch; 0 if the endpoint started long ago.
    pub started_ms: u64,
}

/// The endpoint list and its version.
#[derive(Debug)]
pub struct EndpointList {
    version: u64,
    entries: Vec<VersionedEntry>,
}

#[derive(Debug)]
struct VersionedEntry {
    entry: ListEntry,
    /// Version of the list in which the entry last changed.
    changed_in: u64,
}

/// Wire format of a complete list or of changes.
#[derive(Serialize)]
struct ListUpdate<'a> {
    version: u64,
    #[serde(rename = "full")]
    is_complete: bool,
    #[serde(rename = "servers")]
    entries: Vec<&'a ListEntry>,
}

impl EndpointList {
    /// Creates an empty list with this version.
    #[must_use]
    pub fn new(version: u64) -> Self {
        EndpointList {
            version,
            entries: Vec::new(),
        }
    }

    /// The present version, which increases with each change.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// All entries, including removed ones, in the order in which they were added.
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

    /// Adds an entry and increments the version.
    pub fn add(&mut self, entry: ListEntry) {
        self.version += 1;
        self.add_initial(entry);
    }

    /// Sets the state of the entry with this index, counted from 0 in the order of addition, and increments the
    /// version.
    ///
    /// # Panics
    ///
    /// Panics if `index` is out of range.
    pub fn set_state(&mut self, index: usize, state: EntryState) {
        self.version += 1;
        let versioned = &mut self.entries[index];
        versioned.entry.state = state;
        versioned.changed_in = self.version;
    }

    /// The complete list without removed entries, in wire format.
    #[must_use]
    pub fn complete_list(&self) -> String {
        let is_listed = |versioned: &VersionedEntry| versioned.entry.state != EntryState::Removed;
        self.encode(true, is_listed)
    }

    /// The entries that changed after `version`, including removed ones, in wire format.
    #[must_use]
    pub fn changes_after(&self, version: u64) -> String {
        self.encode(false, |versioned| versioned.changed_in > version)
    }

    fn encode(&self, is_complete: bool, is_included: impl Fn(&VersionedEntry) -> bool) -> String {
        let included = self
            .entries
            .iter()
            .filter(|versioned| is_included(versioned));
        let update = ListUpdate {
            version: self.version,
            is_complete,
            entries: included.map(|versioned| &versioned.entry).collect(),
        };
        // Serialization of strings, numbers and enums cannot fail.
        serde_json::to_string(&update).unwrap_or_default()
    }
}

#[cfg(test)]
mod tests;
