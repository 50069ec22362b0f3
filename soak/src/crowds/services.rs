//! The stand-ins for endpoints, the counter and discovery.

use super::scenario::CrowdScenario;
use crate::fleet::FIRST_VERSION;
use crate::gateway::Addresses;
use crate::loopback::any_port;
use stand_ins::connection::Connection;
use stand_ins::counter::Counter;
use stand_ins::discovery::{Discovery, FirstUpdate};
use stand_ins::endpoint_list::{EndpointList, EntryState, ListEntry};
use stand_ins::list_publisher::ListPublisher;
use stand_ins::server::Server;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::sleep;

/// Time that an endpoint takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(60);
/// Number of processes of endpoints. A list with more entries names some of them more than once.
const ENDPOINT_PROCESSES: usize = 6;

/// The running stand-ins.
pub struct Services {
    _endpoints: Vec<Server>,
    _counter: Server,
    _discovery: Discovery,
    publisher: Rc<ListPublisher>,
    /// The addresses for the gateway's configuration.
    pub addresses: Addresses,
}

impl Services {
    /// Starts the stand-ins, for a gateway that listens on `gateway`.
    pub async fn start(scenario: &CrowdScenario, gateway: SocketAddr) -> io::Result<Self> {
        let mut endpoints = Vec::new();
        let body: Rc<str> = "a".repeat(scenario.response_bytes).into();
        for _ in 0..ENDPOINT_PROCESSES {
            let body = body.clone();
            let listener = TcpListener::bind(any_port()).await?;
            endpoints.push(Server::start(listener, move |connection| {
                serve_requests(connection, body.clone())
            })?);
        }
        let mut list = EndpointList::new(FIRST_VERSION);
        for number in 0..scenario.list_entries {
            let address = endpoints[number % ENDPOINT_PROCESSES].address();
            list.add_initial(list_entry(number, address));
        }
        let publisher = Rc::new(ListPublisher::new(list));
        publisher.set_mode(scenario.discovery);
        let counter = Rc::<Counter>::default();
        counter.set_mode(scenario.counter);
        let counter = counter.start(TcpListener::bind(any_port()).await?)?;
        let listener = TcpListener::bind(any_port()).await?;
        let discovery = Discovery::start(listener, publisher.clone(), FirstUpdate::CompleteList)?;
        let addresses = Addresses {
            listen: gateway,
            discovery: discovery.address(),
            counter: counter.address(),
        };
        Ok(Services {
            _endpoints: endpoints,
            _counter: counter,
            _discovery: discovery,
            publisher,
            addresses,
        })
    }

    /// Publishes a change of all entries of the list, after which it is the same again.
    pub fn change_all_entries(&self) {
        self.publisher.edit(|list| {
            for index in 0..list.entries().count() {
                list.set_state(index, EntryState::Ready);
            }
        });
        self.publisher.publish();
    }

    /// The endpoint list that a gateway starts with.
    pub fn known_list(&self) -> serde_json::Value {
        serde_json::from_str(&self.publisher.last_published()).unwrap_or_default()
    }
}

async fn serve_requests(mut connection: Connection, body: Rc<str>) -> io::Result<()> {
    while connection.receive().await?.is_some() {
        sleep(SERVICE_TIME).await;
        connection
            .respond(200, "X-Units-Charged: 1\r\n", &body)
            .await?;
    }
    Ok(())
}

fn list_entry(number: usize, address: SocketAddr) -> ListEntry {
    let zone = if number % 2 == 0 { "room-a" } else { "room-b" };
    ListEntry {
        id: format!("s-{number:08x}"),
        address,
        zone: zone.to_owned(),
        kind: "std".to_owned(),
        cell: number as u32,
        state: EntryState::Ready,
        weight: 1.0,
        started_ms: 0,
    }
}
