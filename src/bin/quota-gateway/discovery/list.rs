//! The endpoint list as discovery and the configuration file write it in JSON.

use serde::de::{Error, IgnoredAny, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use std::fmt::Formatter;
use std::net::SocketAddr;

/// Most entries in a list. Limits the memory for a list, whatever a peer sends.
pub const MAX_ENTRIES: usize = 20_480;
/// Longest text of a list, in bytes: the most entries, with the bytes of each in an indented list.
pub const MAX_LIST_BYTES: usize = MAX_ENTRIES * 512;

/// An endpoint list, or an update to one.
#[derive(Debug, Deserialize)]
pub struct EndpointList {
    /// Grows with each change. Another discovery service may number its versions differently.
    pub version: u64,
    /// True if endpoints that are not listed were removed; false for an update that lists only changes.
    #[serde(rename = "full")]
    pub complete: bool,
    /// The endpoints that are listed.
    #[serde(rename = "servers")]
    pub endpoints: EndpointEntries,
}

/// The entries of a list. Invalid entries are counted and skipped; the others still apply.
#[derive(Debug, Default)]
pub struct EndpointEntries {
    /// The entries that could be read.
    pub valid: Vec<EndpointEntry>,
    /// Number of entries that could not be read.
    pub invalid: usize,
}

/// One endpoint.
#[derive(Debug, Deserialize)]
pub struct EndpointEntry {
    /// Its name at discovery.
    pub id: String,
    /// Required unless the endpoint was removed.
    pub addr: Option<SocketAddr>,
    /// Its zone.
    #[serde(default)]
    pub zone: String,
    /// Its hardware or software kind.
    #[serde(default)]
    pub kind: String,
    /// Its cell within the zone.
    #[serde(default)]
    pub cell: u32,
    /// Its state.
    pub state: EntryState,
    /// Its capacity, relative to the other endpoints.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// Unix time at which the endpoint started, in ms.
    #[serde(default)]
    pub started_ms: f64,
}

/// An endpoint's state, with the names that discovery uses.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
pub enum EntryState {
    /// Takes requests.
    Ready,
    /// Is draining.
    Terminating,
    /// Was removed.
    Gone,
}

fn default_weight() -> f64 {
    1.0
}

impl<'de> Deserialize<'de> for EndpointEntries {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(EntriesVisitor)
    }
}

#[derive(Deserialize)]
#[serde(untagged)]
enum WireEntry {
    Valid(EndpointEntry),
    Invalid(IgnoredAny),
}

struct EntriesVisitor;

impl<'de> Visitor<'de> for EntriesVisitor {
    type Value = EndpointEntries;

    fn expecting(&self, formatter: &mut Formatter) -> std::fmt::Result {
        write!(formatter, "a list of servers")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut sequence: A) -> Result<EndpointEntries, A::Error> {
        let mut entries = EndpointEntries::default();
        while let Some(entry) = sequence.next_element()? {
            match entry {
                WireEntry::Valid(entry) => entries.valid.push(entry),
                WireEntry::Invalid(IgnoredAny) => entries.invalid += 1,
            }
            if entries.valid.len() + entries.invalid > MAX_ENTRIES {
                return Err(A::Error::custom(format!("over {MAX_ENTRIES} entries")));
            }
        }
        Ok(entries)
    }
}
