//! Endpoints.

use super::server::{start_server, Reply};
use super::timeout::TEST_TIMEOUT;
use crate::message::{response, Message};
use socket2::{Domain, Socket, Type};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// State of a connection in `/proc/net/tcp` whose SYN was sent and not answered.
const SYN_SENT: &str = "02";

/// An endpoint that serves all requests, and those that it got.
///
/// # Panics
///
/// Panics if no port is free.
#[must_use]
pub fn healthy_endpoint() -> (SocketAddr, Arc<Mutex<Vec<Message>>>) {
    let received = Arc::new(Mutex::new(Vec::new()));
    let record = received.clone();
    let addr = start_server(move |request| {
        record
            .lock()
            .expect("no test panics with the lock")
            .push(request.clone());
        Reply::Send(response(200, "X-Units-Charged: 2\r\n", "stock: 12"))
    });
    (addr, received)
}

/// An endpoint to which no connection comes up until `accept_next`: its queue is full.
pub struct StalledEndpoint {
    /// Its address.
    pub addr: SocketAddr,
    socket: Socket,
    _filler: TcpStream,
}

impl Default for StalledEndpoint {
    fn default() -> Self {
        StalledEndpoint::new()
    }
}

impl StalledEndpoint {
    /// One on a port of its own.
    ///
    /// # Panics
    ///
    /// Panics if no port is free.
    #[must_use]
    pub fn new() -> Self {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.bind(&any_port.into()).expect("a free port");
        socket.listen(0).expect("a listener");
        let addr = socket.local_addr().expect("an address");
        let addr = addr.as_socket().expect("an address of IPv4");
        StalledEndpoint {
            addr,
            socket,
            _filler: TcpStream::connect(addr).expect("the queue takes one connection"),
        }
    }

    /// Connections that wait to be accepted, according to the system.
    fn pending_connections(&self) -> usize {
        let port = format!(":{:04X}", self.addr.port());
        let table = std::fs::read_to_string("/proc/net/tcp").expect("the system's table");
        // The table holds all sockets of the system, tens of thousands after a soak: few rows are split.
        let candidates = table.lines().filter(|row| row.contains(&port));
        let rows = candidates.map(|row| row.split_whitespace().collect::<Vec<_>>());
        rows.filter(|row| row[2].ends_with(&port) && row[3] == SYN_SENT)
            .count()
    }

    /// Waits until this many connections wait to come up.
    ///
    /// # Panics
    ///
    /// Panics if that does not happen in time.
    pub fn wait_for_pending(&self, number: usize) {
        let start = Instant::now();
        while self.pending_connections() != number {
            assert!(
                start.elapsed() < TEST_TIMEOUT,
                "{} connections wait",
                self.pending_connections()
            );
            std::thread::yield_now();
        }
    }

    /// Lets the next connection come up.
    ///
    /// # Panics
    ///
    /// Panics if none comes in time.
    #[must_use]
    pub fn accept_next(&self) -> TcpStream {
        drop(self.socket.accept().expect("the filler's connection"));
        self.socket
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("a time-out");
        let (accepted, _) = self.socket.accept().expect("a connection");
        accepted.into()
    }
}
