//! The JSON format of the endpoint list, which discovery and the configuration file share.

use serde::de::{Error, IgnoredAny, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use std::fmt::Formatter;
use std::net::SocketAddr;

/// Maximum number of entries in a list. Bounds the memory that a list from a peer can use.
pub const MAX_ENTRIES: usize = 20_480;
/// Maximum length of the JSON text of a list: `MAX_ENTRIES` entries of 512 bytes each, the size of an indented entry.
pub const MAX_LIST_BYTES: usize = MAX_ENTRIES * 512;
/// Memory that a list takes while it is parsed and applied, for each byte of its text.
const PARSED_BYTES_PER_TEXT_BYTE: usize = 4;

/// Memory that a list with a text of this length takes while it is parsed and applied, in bytes.
pub fn parsed_bytes(text_bytes: usize) -> usize {
    text_bytes * PARSED_BYTES_PER_TEXT_BYTE
}

/// An endpoint list, or an update to one.
#[derive(Debug, Deserialize)]
pub struct EndpointList {
    /// Version number, which increases with each change. Another discovery service may number its versions differently.
    pub version: u64,
    /// True for a complete list, where endpoints that are not listed have been removed; false for an update that lists
    /// only changes.
    #[serde(rename = "full")]
    pub complete: bool,
    /// The entries of the list.
    #[serde(rename = "servers")]
    pub endpoints: EndpointEntries,
}

/// The entries of a list. Invalid entries are counted and skipped; the valid ones still apply.
#[derive(Debug, Default)]
pub struct EndpointEntries {
    /// The entries that were parsed.
    pub valid: Vec<EndpointEntry>,
    /// Number of entries that could not be parsed.
    pub invalid: usize,
}

/// The entry of one endpoint.
#[derive(Debug, Deserialize)]
pub struct EndpointEntry {
    /// Name of the endpoint at discovery.
    pub id: String,
    /// Address of the endpoint; required unless the endpoint was removed.
    pub addr: Option<SocketAddr>,
    /// Zone of the endpoint.
    #[serde(default)]
    pub zone: String,
    /// Hardware or software kind of the endpoint.
    #[serde(default)]
    pub kind: String,
    /// Cell of the endpoint within the zone.
    #[serde(default)]
    pub cell: u32,
    /// State of the endpoint.
    pub state: EntryState,
    /// Capacity of the endpoint relative to the others.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// Unix time at which the endpoint started, in ms.
    #[serde(default)]
    pub started_ms: f64,
}

/// The state of an endpoint, under the names that discovery uses.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
pub enum EntryState {
    /// The endpoint accepts requests.
    Ready,
    /// The endpoint is draining.
    Terminating,
    /// The endpoint was removed.
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
