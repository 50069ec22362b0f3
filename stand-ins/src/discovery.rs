//! Asynchronous discovery server: calls for the complete endpoint list, and watches of its changes.

use crate::connection::Connection;
use crate::endpoint_list::EndpointList;
use crate::list_publisher::ListPublisher;
use crate::message::Message;
use crate::server::Server;
use crate::service_mode::ServiceMode;
use crate::traffic::{Traffic, TrafficMeter};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

/// Interval at which a watch sends an empty line while the list does not change.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
const WATCH_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// A truncated endpoint list.
const MALFORMED_LIST: &str = "{\"version\": 3, \"full\": tr";

/// The first update that a watch sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FirstUpdate {
    /// The complete list.
    CompleteList,
    /// The changes after the version that the watch's request names.
    Changes,
}

/// A running discovery server.
pub struct Discovery {
    server: Server,
    traffic: Rc<TrafficMeter>,
}

impl Discovery {
    /// Starts to serve the list of `publisher` on a listener.
    ///
    /// # Errors
    ///
    /// Fails if the listener has no address.
    pub fn start(
        listener: TcpListener,
        publisher: Rc<ListPublisher>,
        first_update: FirstUpdate,
    ) -> io::Result<Self> {
        let traffic = Rc::<TrafficMeter>::default();
        let meter = traffic.clone();
        let server = Server::start(listener, move |connection| {
            let session = Session {
                publisher: publisher.clone(),
                first_update,
                traffic: meter.clone(),
                connection,
            };
            session.serve()
        })?;
        Ok(Discovery { server, traffic })
    }

    /// The address on which discovery listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The number of calls so far, and the bytes sent.
    #[must_use]
    pub fn traffic(&self) -> Traffic {
        self.traffic.read()
    }

    /// Stops accepting connections at once, and closes the open ones after `close_delay`.
    pub async fn shut_down(self, close_delay: Duration) {
        self.server.stop_accepting();
        sleep(close_delay).await;
        self.server.stop();
    }
}

/// A connection and the state that its task needs.
struct Session {
    publisher: Rc<ListPublisher>,
    first_update: FirstUpdate,
    traffic: Rc<TrafficMeter>,
    connection: Connection,
}

impl Session {
    async fn serve(mut self) -> io::Result<()> {
        while let Some(call) = self.connection.receive().await? {
            self.traffic.add_call();
            match self.publisher.mode() {
                ServiceMode::Available => {}
                ServiceMode::Closes => return Ok(()),
                ServiceMode::Rejects => {
                    self.respond(503, "").await?;
                    continue;
                }
                ServiceMode::Malformed => {
                    self.respond(200, MALFORMED_LIST).await?;
                    continue;
                }
                ServiceMode::Silent => {
                    self.publisher.wait_until_available().await;
                    return Ok(());
                }
            }
            if call.target().contains("stream=1") {
                return self.serve_watch(&call).await;
            }
            let list = self.publisher.read(EndpointList::complete_list);
            self.respond(200, &list).await?;
        }
        Ok(())
    }

    /// Serves a watch until its connection ends or discovery becomes unavailable.
    async fn serve_watch(&mut self, call: &Message) -> io::Result<()> {
        let mut changes = self.publisher.subscribe();
        let mut sent_version = known_version(call);
        let mut is_first = true;
        self.send(WATCH_HEAD).await?;
        loop {
            match self.publisher.mode() {
                ServiceMode::Available => {
                    let line = self.next_line(sent_version, is_first);
                    sent_version = self.publisher.read(EndpointList::version);
                    is_first = false;
                    self.send(&chunk(&line)).await?;
                }
                // The gateway opens a new watch afterwards, and receives the missed changes on it.
                ServiceMode::Silent => {
                    self.publisher.wait_until_available().await;
                    return Ok(());
                }
                ServiceMode::Closes | ServiceMode::Rejects | ServiceMode::Malformed => {
                    return Ok(());
                }
            }
            let _ = timeout(HEARTBEAT_INTERVAL, changes.changed()).await;
        }
    }

    /// The next line of a watch; empty if the list has not changed.
    fn next_line(&self, sent_version: u64, is_first: bool) -> String {
        self.publisher.read(|list| {
            if is_first && self.first_update == FirstUpdate::CompleteList {
                list.complete_list()
            } else if is_first || list.version() > sent_version {
                list.changes_after(sent_version)
            } else {
                String::new()
            }
        })
    }

    async fn respond(&mut self, status: u16, body: &str) -> io::Result<()> {
        let sent = self.connection.respond(status, "", body).await?;
        self.traffic.add_bytes(sent);
        Ok(())
    }

    async fn send(&mut self, text: &str) -> io::Result<()> {
        self.connection.send(text.as_bytes()).await?;
        self.traffic.add_bytes(text.len());
        Ok(())
    }
}

/// The version in the parameter `index` of a watch's request; 0 if the parameter is missing or invalid.
fn known_version(call: &Message) -> u64 {
    let index = call.target().split("index=").nth(1);
    index.and_then(|index| index.parse().ok()).unwrap_or(0)
}

/// Encodes a line of a watch as one HTTP chunk.
#[must_use]
pub fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}
