//! Stand-ins for the services around the gateways of a run: endpoints, the shared counter, and the agent that pushes
//! the endpoint list.

use ::stand_ins::connection::Connection;
use ::stand_ins::counter::Counter;
use ::stand_ins::discovery::{Discovery, FirstUpdate};
use ::stand_ins::endpoint_list::{EndpointList, EntryState, ListEntry};
use ::stand_ins::list_publisher::ListPublisher;
use ::stand_ins::server::Server;
use ::stand_ins::traffic::Traffic;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::sleep;

/// Version of the list that the agent pushes. Gateways are started with an older one.
const LIST_VERSION: u64 = 8;
const ZONES: u32 = 2;
const CELLS: u32 = 64;
/// Odd multiplier that spreads the ids of endpoints over all 32 bits.
const ID_MULTIPLIER: u32 = 0x9E37_79B9;

/// Total traffic of the counter and discovery from the start of the stand-ins to one time.
#[derive(Clone, Copy)]
pub(super) struct TrafficCounts {
    /// Number of calls of the counter, and bytes in both directions.
    pub(super) counter: Traffic,
    /// Number of calls of discovery, and bytes that discovery sent.
    pub(super) list: Traffic,
}

/// The running stand-ins. Their tasks end with the run.
pub(super) struct StandIns {
    counter: Rc<Counter>,
    pub(super) counter_address: SocketAddr,
    pub(super) discovery: Discovery,
    /// First entry of the endpoint list; `None` if the list is empty.
    pub(super) first_entry: Option<ListEntry>,
}

impl StandIns {
    pub(super) async fn start(endpoints: u32, service_time: Duration) -> io::Result<Self> {
        let endpoint_server = Server::start(listen().await?, move |connection| {
            serve_requests(connection, service_time)
        })?;
        let counter = Rc::<Counter>::default();
        let counter_address = counter.clone().start(listen().await?)?.address();
        let mut list = EndpointList::new(LIST_VERSION);
        for index in 0..endpoints {
            list.add_initial(list_entry(index, endpoint_server.address()));
        }
        let first_entry = list.entries().next().cloned();
        let publisher = Rc::new(ListPublisher::new(list));
        let discovery = Discovery::start(listen().await?, publisher, FirstUpdate::CompleteList)?;
        Ok(StandIns {
            counter,
            counter_address,
            discovery,
            first_entry,
        })
    }

    pub(super) fn traffic(&self) -> TrafficCounts {
        TrafficCounts {
            counter: self.counter.traffic(),
            list: self.discovery.traffic(),
        }
    }
}

/// Creates an entry of the endpoint list. All entries have the address of the one endpoint stand-in.
fn list_entry(index: u32, address: SocketAddr) -> ListEntry {
    ListEntry {
        id: format!("s-{:08x}", index.wrapping_mul(ID_MULTIPLIER)),
        address,
        zone: format!("z{}", index % ZONES),
        kind: "m".to_owned(),
        cell: index % CELLS,
        state: EntryState::Ready,
        weight: 1.0,
        started_ms: 0,
    }
}

async fn listen() -> io::Result<TcpListener> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await
}

async fn serve_requests(mut connection: Connection, service_time: Duration) -> io::Result<()> {
    while connection.receive().await?.is_some() {
        sleep(service_time).await;
        connection
            .respond(200, "X-Units-Charged: 1\r\n", "quote")
            .await?;
    }
    Ok(())
}
