//! The stand-in for discovery, as each gateway's agent has it.

use crate::http::{Connection, Message};
use crate::loopback::any_port;
use crate::world::{ServiceMode, World};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch::Receiver;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, timeout};

/// When nothing changes, an empty line comes this often.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// The former address closes its connections this long after a new configuration.
const FORMER_CLOSE_DELAY: Duration = Duration::from_millis(1500);

/// A running discovery.
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    accepting: JoinHandle<()>,
    closing: tokio::sync::watch::Sender<bool>,
}

impl Discovery {
    /// Starts one.
    pub async fn start(world: &Rc<World>) -> io::Result<Self> {
        let listener = TcpListener::bind(any_port()).await?;
        let address = listener.local_addr()?;
        let closing = tokio::sync::watch::Sender::new(false);
        let accepting = spawn_local(accept(world.clone(), listener, closing.subscribe()));
        Ok(Discovery {
            address,
            accepting,
            closing,
        })
    }

    /// Accepts nothing more, and closes what is open after a time.
    pub async fn retire(self) {
        self.accepting.abort();
        sleep(FORMER_CLOSE_DELAY).await;
        let _ = self.closing.send(true);
    }
}

async fn accept(world: Rc<World>, listener: TcpListener, closing: Receiver<bool>) {
    while let Ok((stream, _)) = listener.accept().await {
        let world = world.clone();
        let mut closing = closing.clone();
        spawn_local(async move {
            tokio::select! {
                _ = serve(&world, Connection::new(stream)) => {}
                _ = closing.wait_for(|closing| *closing) => {}
            }
        });
    }
}

async fn serve(world: &World, mut connection: Connection) -> io::Result<()> {
    while let Some(call) = connection.receive().await? {
        match world.discovery_mode.get() {
            ServiceMode::Works => {}
            ServiceMode::Closes => return Ok(()),
            ServiceMode::Refuses => {
                connection.respond(503, "", "").await?;
                continue;
            }
            ServiceMode::Garbles => {
                connection
                    .respond(200, "", "{\"version\": 3, \"full\": tr")
                    .await?;
                continue;
            }
            ServiceMode::Silent => {
                wait_until_it_works(world).await;
                return Ok(());
            }
        }
        if call.head.contains("stream=1") {
            return serve_watch(world, &mut connection, &call).await;
        }
        let list = world.fleet.borrow().complete_list();
        connection.respond(200, "", &list).await?;
    }
    Ok(())
}

async fn wait_until_it_works(world: &World) {
    let mut updates = world.list_changed.subscribe();
    while world.discovery_mode.get() != ServiceMode::Works {
        if updates.changed().await.is_err() {
            return;
        }
    }
}

/// Serves a watch until its connection ends or discovery fails.
async fn serve_watch(world: &World, connection: &mut Connection, call: &Message) -> io::Result<()> {
    let index = call
        .second_word()
        .split("index=")
        .nth(1)
        .and_then(|index| index.parse().ok());
    let mut sent_version: u64 = index.unwrap_or(0);
    let mut updates = world.list_changed.subscribe();
    connection
        .send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        .await?;
    let mut is_first = true;
    loop {
        match world.discovery_mode.get() {
            ServiceMode::Works => {
                let version = world.fleet.borrow().version;
                if is_first || version > sent_version {
                    let changes = world.fleet.borrow().changes_after(sent_version);
                    send_line(connection, &changes).await?;
                    sent_version = version;
                    is_first = false;
                } else {
                    send_line(connection, "").await?;
                }
            }
            // It keeps silent, and what it has missed is asked for anew.
            ServiceMode::Silent => {
                wait_until_it_works(world).await;
                return Ok(());
            }
            _ => return Ok(()),
        }
        let _ = timeout(HEARTBEAT_INTERVAL, updates.changed()).await;
    }
}

async fn send_line(connection: &mut Connection, line: &str) -> io::Result<()> {
    connection
        .send(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes())
        .await
}
