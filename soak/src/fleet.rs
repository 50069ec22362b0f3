//! The endpoints of a run: how they behave, and since when the list says that they take nothing new.

use stand_ins::endpoint::Behaviour;
use stand_ins::endpoint_list::{EntryState, ListEntry};
use stand_ins::list_publisher::ListPublisher;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// The version of the first list.
pub const FIRST_VERSION: u64 = 7;

/// One endpoint.
#[derive(Clone, Copy)]
pub struct EndpointState {
    /// Its state in the list.
    pub listed_state: EntryState,
    /// When the list first said that it takes nothing new.
    pub unavailable_since: Option<Instant>,
    /// How it behaves now.
    pub behaviour: Behaviour,
    /// When it started; none if that is long past.
    pub started_at: Option<Instant>,
}

/// All endpoints by number, those that were removed included.
pub struct Fleet {
    publisher: Rc<ListPublisher>,
    endpoints: RefCell<Vec<EndpointState>>,
}

impl Fleet {
    /// No endpoints yet. Their changes go to this publisher.
    pub fn new(publisher: Rc<ListPublisher>) -> Self {
        Fleet {
            publisher,
            endpoints: RefCell::default(),
        }
    }

    /// Adds an endpoint that has started just now (it is warming up) or long ago. Returns its number.
    pub fn add(&self, address: SocketAddr, is_warming_up: bool) -> usize {
        let mut endpoints = self.endpoints.borrow_mut();
        let number = endpoints.len();
        endpoints.push(EndpointState {
            listed_state: EntryState::Ready,
            unavailable_since: None,
            behaviour: Behaviour::Serves,
            started_at: is_warming_up.then(Instant::now),
        });
        self.publisher.edit(|list| {
            if is_warming_up {
                list.add(entry(number, address, unix_time_ms()));
            } else {
                list.add_initial(entry(number, address, 0));
            }
        });
        number
    }

    /// Sends the changes so far to the gateways.
    pub fn publish(&self) {
        self.publisher.publish();
    }

    /// The list says that an endpoint drains.
    pub fn drain(&self, number: usize) {
        self.set_listed_state(number, EntryState::Draining);
    }

    /// The list says that an endpoint was removed.
    pub fn remove(&self, number: usize) {
        self.set_listed_state(number, EntryState::Removed);
    }

    fn set_listed_state(&self, number: usize, state: EntryState) {
        let mut endpoints = self.endpoints.borrow_mut();
        let endpoint = &mut endpoints[number];
        endpoint.listed_state = state;
        endpoint.unavailable_since.get_or_insert_with(Instant::now);
        self.publisher.edit(|list| list.set_state(number, state));
    }

    /// The state of one endpoint.
    pub fn state(&self, number: usize) -> EndpointState {
        self.endpoints.borrow()[number]
    }

    /// Sets how endpoints behave.
    pub fn set_behaviour(&self, numbers: &[usize], behaviour: Behaviour) {
        let mut endpoints = self.endpoints.borrow_mut();
        for number in numbers {
            endpoints[*number].behaviour = behaviour;
        }
    }

    /// The numbers of the endpoints that take requests.
    pub fn ready(&self) -> Vec<usize> {
        let endpoints = self.endpoints.borrow();
        let numbered = endpoints.iter().enumerate();
        numbered
            .filter(|(_, endpoint)| endpoint.listed_state == EntryState::Ready)
            .map(|(number, _)| number)
            .collect()
    }
}

fn entry(number: usize, address: SocketAddr, started_ms: u64) -> ListEntry {
    let zone = if number % 2 == 0 { "room-a" } else { "room-b" };
    ListEntry {
        id: format!("s-{number:08x}"),
        address,
        zone: zone.to_owned(),
        kind: "std".to_owned(),
        cell: number as u32,
        state: EntryState::Ready,
        weight: 1.0,
        started_ms,
    }
}

fn unix_time_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or(Duration::ZERO)
        .as_millis() as u64
}
