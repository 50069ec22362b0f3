//! The endpoints of a run: what the list says of them, and how they behave.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// How an endpoint behaves towards requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Serves them.
    Serves,
    /// Executes them and says nothing.
    Hangs,
    /// Executes them and resets the connection.
    Resets,
    /// Turns them away, and says that they was never executed.
    TurnsAway,
    /// Executes them and answers what is no HTTP.
    Garbles,
    /// Answers without a length, and ends the connection behind that.
    OmitsLength,
    /// Answers twice.
    Repeats,
    /// Closes the connection behind each answer without a word.
    Closes,
}

/// Where an endpoint stands in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// It takes requests.
    Ready,
    /// It drains since then.
    Draining(Instant),
    /// It is gone since then, and drained before, perhaps.
    Gone(Instant),
}

impl ListedState {
    /// When it became known that the endpoint takes nothing new.
    pub fn since(self) -> Option<Instant> {
        match self {
            ListedState::Ready => None,
            ListedState::Draining(at) | ListedState::Gone(at) => Some(at),
        }
    }
}

/// One endpoint.
pub struct Endpoint {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its state in the list.
    pub listed_state: ListedState,
    /// How it behaves now.
    pub behaviour: Behaviour,
    /// When it started; none if that is long past.
    pub started_at: Option<Instant>,
    started_ms: u64,
    /// The version of the list that changed it last.
    changed_in: u64,
}

/// All endpoints, those that are gone included.
pub struct Fleet {
    /// By number.
    pub endpoints: Vec<Endpoint>,
    /// The version of the list.
    pub version: u64,
}

/// The version of the first list.
const FIRST_VERSION: u64 = 7;

impl Fleet {
    /// No endpoints yet.
    pub fn new() -> Self {
        Fleet {
            endpoints: Vec::new(),
            version: FIRST_VERSION,
        }
    }

    /// Adds an endpoint that has just started, or started long ago. Returns its number.
    pub fn add(&mut self, address: SocketAddr, is_cold: bool) -> usize {
        if is_cold {
            self.version += 1;
        }
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or(Duration::ZERO);
        self.endpoints.push(Endpoint {
            address,
            listed_state: ListedState::Ready,
            behaviour: Behaviour::Serves,
            started_at: is_cold.then(Instant::now),
            started_ms: if is_cold { unix.as_millis() as u64 } else { 0 },
            changed_in: self.version,
        });
        self.endpoints.len() - 1
    }

    /// Changes an endpoint's state in the list.
    pub fn set_listed_state(&mut self, endpoint: usize, listed_state: ListedState) {
        self.version += 1;
        self.endpoints[endpoint].listed_state = listed_state;
        self.endpoints[endpoint].changed_in = self.version;
    }

    /// The numbers of the endpoints that take requests.
    pub fn ready(&self) -> Vec<usize> {
        let numbered = self.endpoints.iter().enumerate();
        numbered
            .filter(|(_, endpoint)| endpoint.listed_state == ListedState::Ready)
            .map(|(number, _)| number)
            .collect()
    }

    /// The complete list, as discovery writes it.
    pub fn complete_list(&self) -> String {
        self.list(true, |endpoint| {
            !matches!(endpoint.listed_state, ListedState::Gone(_))
        })
    }

    /// What changed after a version, as discovery writes it.
    pub fn changes_after(&self, version: u64) -> String {
        self.list(false, |endpoint| endpoint.changed_in > version)
    }

    fn list(&self, complete: bool, is_named: impl Fn(&Endpoint) -> bool) -> String {
        let numbered = self.endpoints.iter().enumerate();
        let named = numbered.filter(|(_, endpoint)| is_named(endpoint));
        let entries: Vec<_> = named
            .map(|(number, endpoint)| entry(number, endpoint))
            .collect();
        let version = self.version;
        format!(
            "{{\"version\":{version},\"full\":{complete},\"servers\":[{}]}}",
            entries.join(",")
        )
    }
}

fn entry(number: usize, endpoint: &Endpoint) -> String {
    let state = match endpoint.listed_state {
        ListedState::Ready => "Ready",
        ListedState::Draining(_) => "Terminating",
        ListedState::Gone(_) => "Gone",
    };
    let (address, started_ms) = (endpoint.address, endpoint.started_ms);
    let zone = if number % 2 == 0 { "room-a" } else { "room-b" };
    format!(
        "{{\"id\":\"s-{number:08x}\",\"addr\":\"{address}\",\"zone\":\"{zone}\",\"kind\":\"std\",\"cell\":{number},\
         \"state\":\"{state}\",\"weight\":1.0,\"started_ms\":{started_ms}}}"
    )
}
