//! The endpoints of a run: their behaviour and their states in the endpoint list.

use stand_ins::endpoint::Behaviour;
use stand_ins::endpoint_list::{EntryState, ListEntry};
use stand_ins::list_publisher::ListPublisher;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// The version of the first endpoint list.
pub const FIRST_VERSION: u64 = 7;

/// The state of one endpoint.
#[derive(Clone, Copy)]
pub struct EndpointState {
    /// The state of the endpoint in the endpoint list.
    pub listed_state: EntryState,
    /// The time at which the list first showed the endpoint as draining or removed. `None` while it is ready.
    pub unavailable_since: Option<Instant>,
    /// The current behaviour of the endpoint.
    pub behaviour: Behaviour,
    /// The time at which the endpoint started. `None` if it started long before the run.
    pub started_at: Option<Instant>,
}

/// All endpoints by number, including removed ones.
pub struct Fleet {
    publisher: Rc<ListPublisher>,
    endpoints: RefCell<Vec<EndpointState>>,
}

impl Fleet {
    /// Creates a fleet without endpoints, whose changes go to `publisher`.
    pub fn new(publisher: Rc<ListPublisher>) -> Self {
        Fleet {
            publisher,
            endpoints: RefCell::default(),
        }
    }

    /// Adds an endpoint that has just started (`is_warming_up`) or that started long ago. Returns its number.
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

    /// Publishes all changes so far to the gateways.
    pub fn publish(&self) {
        self.publisher.publish();
    }

    /// Lists an endpoint as draining.
    pub fn drain(&self, number: usize) {
        self.set_listed_state(number, EntryState::Draining);
    }

    /// Lists an endpoint as removed.
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

    /// The state of the endpoint `number`.
    pub fn state(&self, number: usize) -> EndpointState {
        self.endpoints.borrow()[number]
    }

    /// Sets the behaviour of endpoints.
    pub fn set_behaviour(&self, numbers: &[usize], behaviour: Behaviour) {
        let mut endpoints = self.endpoints.borrow_mut();
        for number in numbers {
            endpoints[*number].behaviour = behaviour;
        }
    }

    /// The numbers of the endpoints that are listed as ready.
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
