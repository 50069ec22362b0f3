//! Endpoints on blocking sockets: one that serves all requests, and one that does not accept connections.

use super::server::{start_server, Reply};
use super::timeout::TEST_TIMEOUT;
use crate::message::{response, Message};
use socket2::{Domain, Socket, Type};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// State in `/proc/net/tcp` of a connection whose SYN was sent but not acknowledged.
const SYN_SENT: &str = "02";

/// Starts an endpoint that responds to each request with status 200 at once. Returns its address and the requests
/// received so far.
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
            .expect("no thread panics while it holds the lock")
            .push(request.clone());
        Reply::Send(response(200, "X-Units-Charged: 2\r\n", "stock: 12"))
    });
    (addr, received)
}

/// An endpoint with a full accept queue: no further connection is established until
/// [`accept_first`](Self::accept_first) is called.
pub struct StalledEndpoint {
    /// Address of the endpoint.
    pub addr: SocketAddr,
    socket: Socket,
    /// The connection that fills the accept queue.
    _queue_filler: TcpStream,
}

impl Default for StalledEndpoint {
    fn default() -> Self {
        StalledEndpoint::new()
    }
}

impl StalledEndpoint {
    /// Starts a stalled endpoint on a free port.
    ///
    /// # Panics
    ///
    /// Panics if no port is free.
    #[must_use]
    pub fn new() -> Self {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let socket =
            Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket can be created");
        socket.bind(&any_port.into()).expect("a free port");
        socket.listen(0).expect("the socket can listen");
        let addr = socket.local_addr().expect("the socket has an address");
        let addr = addr.as_socket().expect("the address of the socket is IPv4");
        StalledEndpoint {
            addr,
            socket,
            _queue_filler: TcpStream::connect(addr).expect("the queue takes one connection"),
        }
    }

    /// Number of connections to the endpoint in `SYN_SENT`, according to `/proc/net/tcp`.
    fn pending_connections(&self) -> usize {
        let port = format!(":{:04X}", self.addr.port());
        let table = std::fs::read_to_string("/proc/net/tcp").expect("/proc/net/tcp is readable");
        // The table lists all sockets of the system, tens of thousands after a soak test. Only rows that contain the
        // port are split into columns.
        let candidates = table.lines().filter(|row| row.contains(&port));
        let rows = candidates.map(|row| row.split_whitespace().collect::<Vec<_>>());
        // Column 2 is the remote address, column 3 the state.
        rows.filter(|row| row[2].ends_with(&port) && row[3] == SYN_SENT)
            .count()
    }

    /// Waits until exactly `number` connections are pending: their SYN has not been acknowledged.
    ///
    /// # Panics
    ///
    /// Panics if the number is not reached within [`TEST_TIMEOUT`].
    pub fn wait_for_pending(&self, number: usize) {
        let start = Instant::now();
        loop {
            let pending = self.pending_connections();
            if pending == number {
                return;
            }
            assert!(
                start.elapsed() < TEST_TIMEOUT,
                "{pending} connections to {} are pending after {TEST_TIMEOUT:?}, expected {number}",
                self.addr
            );
            std::thread::yield_now();
        }
    }

    /// Frees the accept queue and accepts the first connection after the one that fills it. Call this once: a second
    /// call would close the next connection as if it were the one that fills the queue.
    ///
    /// # Panics
    ///
    /// Panics if no connection arrives within [`TEST_TIMEOUT`].
    #[must_use]
    pub fn accept_first(&self) -> TcpStream {
        drop(
            self.socket
                .accept()
                .expect("the connection that fills the queue can be accepted"),
        );
        self.socket
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("the read timeout can be set");
        let (accepted, _) = self
            .socket
            .accept()
            .expect("a pending connection can be accepted in time");
        accepted.into()
    }
}
