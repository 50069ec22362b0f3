//! Stand-ins for what gateways talk to: endpoints, the shared counter, and the agent that pushes the endpoint list.

use super::http::Connection;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// The version of the list that the agent pushes; gateways are started with an older one.
const LIST_VERSION: u32 = 8;
/// The agent sends an empty line this often.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
const HEARTBEAT: &[u8] = b"1\r\n\n\r\n";
const ZONES: u32 = 2;
const CELLS: u32 = 64;

/// Everything that the stand-ins have seen so far.
#[derive(Default)]
struct Traffic {
    counter_calls: Cell<u64>,
    counter_bytes: Cell<u64>,
    list_calls: Cell<u64>,
    list_bytes: Cell<u64>,
}

/// The traffic at one moment.
#[derive(Clone, Copy)]
pub(super) struct TrafficCounts {
    pub(super) counter_calls: u64,
    pub(super) counter_bytes: u64,
    pub(super) list_calls: u64,
    pub(super) list_bytes: u64,
}

/// The stand-ins; their tasks end with the run.
pub(super) struct StandIns {
    pub(super) counter: SocketAddr,
    pub(super) discovery: SocketAddr,
    /// The entries of the endpoint list, in the protocol's form.
    pub(super) list_entries: Vec<String>,
    traffic: Rc<Traffic>,
}

impl StandIns {
    pub(super) async fn start(endpoints: u32, service_time: Duration) -> io::Result<Self> {
        let traffic = Rc::new(Traffic::default());
        let endpoint_listener = listen().await?;
        let counter_listener = listen().await?;
        let discovery_listener = listen().await?;
        let endpoint_address = endpoint_listener.local_addr()?;
        let counter = counter_listener.local_addr()?;
        let discovery = discovery_listener.local_addr()?;
        let list_entries: Vec<_> = (0..endpoints)
            .map(|index| list_entry(index, endpoint_address))
            .collect();
        let list = format!(
            "{{\"version\":{LIST_VERSION},\"full\":true,\"servers\":[{}]}}\n",
            list_entries.join(",")
        );
        spawn_local(serve_endpoints(endpoint_listener, service_time));
        spawn_local(serve_counter(counter_listener, traffic.clone()));
        spawn_local(serve_discovery(
            discovery_listener,
            traffic.clone(),
            Rc::new(list),
        ));
        Ok(StandIns {
            counter,
            discovery,
            list_entries,
            traffic,
        })
    }

    pub(super) fn traffic(&self) -> TrafficCounts {
        TrafficCounts {
            counter_calls: self.traffic.counter_calls.get(),
            counter_bytes: self.traffic.counter_bytes.get(),
            list_calls: self.traffic.list_calls.get(),
            list_bytes: self.traffic.list_bytes.get(),
        }
    }
}

/// An entry of the endpoint list; all endpoints share the address of the one stand-in.
fn list_entry(index: u32, address: SocketAddr) -> String {
    let id = index.wrapping_mul(0x9E37_79B9);
    let zone = index % ZONES;
    let cell = index % CELLS;
    format!(
        "{{\"id\":\"s-{id:08x}\",\"addr\":\"{address}\",\"zone\":\"z{zone}\",\"kind\":\"m\",\"cell\":{cell},\
         \"state\":\"Ready\",\"weight\":1.0,\"started_ms\":0}}"
    )
}

async fn listen() -> io::Result<TcpListener> {
    TcpListener::bind("127.0.0.1:0").await
}

fn add(counter: &Cell<u64>, amount: usize) {
    counter.set(counter.get() + amount as u64);
}

async fn serve_endpoints(listener: TcpListener, service_time: Duration) {
    while let Ok((stream, _)) = listener.accept().await {
        spawn_local(async move {
            let mut connection = Connection::new(stream)?;
            while connection.receive().await?.is_some() {
                sleep(service_time).await;
                connection
                    .respond("X-Units-Charged: 1\r\n", "quote")
                    .await?;
            }
            io::Result::Ok(())
        });
    }
}

/// Totals by key.
type Totals = Rc<RefCell<HashMap<String, f64>>>;

async fn serve_counter(listener: TcpListener, traffic: Rc<Traffic>) {
    let totals = Totals::default();
    while let Ok((stream, _)) = listener.accept().await {
        let traffic = traffic.clone();
        let totals = totals.clone();
        spawn_local(async move {
            let mut connection = Connection::new(stream)?;
            while let Some(message) = connection.receive().await? {
                let total = add_to_total(&totals, message.second_word());
                let sent = connection.respond("", &format!("{total:.3}")).await?;
                add(&traffic.counter_calls, 1);
                add(&traffic.counter_bytes, message.bytes + sent);
            }
            io::Result::Ok(())
        });
    }
}

/// Carries out a call with this target; the total after it.
fn add_to_total(totals: &Totals, target: &str) -> f64 {
    let (key, query) = target.split_once('?').unwrap_or((target, ""));
    let amount = query
        .split('&')
        .find_map(|part| part.strip_prefix("by=")?.parse::<f64>().ok());
    let mut totals = totals.borrow_mut();
    let total = totals.entry(key.to_owned()).or_default();
    *total += amount.unwrap_or(0.0);
    *total
}

/// The agent: the complete list first, in one chunk, then an empty line now and then.
async fn serve_discovery(listener: TcpListener, traffic: Rc<Traffic>, list: Rc<String>) {
    while let Ok((stream, _)) = listener.accept().await {
        let traffic = traffic.clone();
        let list = list.clone();
        spawn_local(async move {
            let mut connection = Connection::new(stream)?;
            while let Some(message) = connection.receive().await? {
                add(&traffic.list_calls, 1);
                if message.head.contains("stream=1") {
                    return serve_watch(&mut connection, &traffic, &list).await;
                }
                let sent = connection.respond("", &list).await?;
                add(&traffic.list_bytes, sent);
            }
            io::Result::Ok(())
        });
    }
}

/// Serves a watch until its connection ends.
async fn serve_watch(connection: &mut Connection, traffic: &Traffic, list: &str) -> io::Result<()> {
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let first = format!("{head}{:x}\r\n{list}\r\n", list.len());
    connection.send(first.as_bytes()).await?;
    add(&traffic.list_bytes, first.len());
    loop {
        sleep(HEARTBEAT_INTERVAL).await;
        connection.send(HEARTBEAT).await?;
        add(&traffic.list_bytes, HEARTBEAT.len());
    }
}
