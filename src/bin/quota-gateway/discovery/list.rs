//! The endpoint list as discovery and the configuration write it.

use serde::de::{Error, IgnoredAny, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use std::fmt::Formatter;
use std::net::SocketAddr;

/// Most entries of a list: twice and a half the fleet of 8,200 that the operators name as the next size. What a
/// list takes up is bounded by this alone, some 12 MB in the whole program, whatever a peer claims to send.
pub const ENTRIES_MOST: usize = 20_480;

/// The list of backends, or the entries that changed.
#[derive(Debug, Deserialize)]
pub struct EndpointList {
    pub version: u64,
    pub full: bool,
    pub servers: EndpointEntries,
}

/// The entries of a list. One that can't be read is counted and passed over: the others hold all the same.
#[derive(Debug, Default)]
pub struct EndpointEntries {
    pub good: Vec<EndpointEntry>,
    pub bad: usize,
}

impl<'de> Deserialize<'de> for EndpointEntries {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Entry {
            Good(EndpointEntry),
            Bad(IgnoredAny),
        }
        struct Visit;
        impl<'de> Visitor<'de> for Visit {
            type Value = EndpointEntries;

            fn expecting(&self, f: &mut Formatter) -> std::fmt::Result {
                write!(f, "a list of servers")
            }

            fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<EndpointEntries, A::Error> {
                let mut entries = EndpointEntries::default();
                while let Some(entry) = seq.next_element()? {
                    match entry {
                        Entry::Good(server) => entries.good.push(server),
                        Entry::Bad(IgnoredAny) => entries.bad += 1,
                    }
                    if entries.good.len() + entries.bad > ENTRIES_MOST {
                        return Err(A::Error::custom(format!("over {ENTRIES_MOST} entries")));
                    }
                }
                Ok(entries)
            }
        }
        deserializer.deserialize_seq(Visit)
    }
}

/// One entry of the list.
#[derive(Debug, Deserialize)]
pub struct EndpointEntry {
    pub id: String,
    /// Needed for all but those that are gone.
    pub addr: Option<SocketAddr>,
    #[serde(default)]
    pub zone: String,
    #[serde(default)]
    pub kind: String,
    #[serde(default)]
    pub cell: u32,
    pub state: EntryState,
    #[serde(default = "one")]
    pub weight: f64,
    #[serde(default)]
    pub started_ms: f64,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
pub enum EntryState {
    Ready,
    Terminating,
    Gone,
}

fn one() -> f64 {
    1.0
}
