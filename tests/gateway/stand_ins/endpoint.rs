//! Stand-ins for endpoints.

use super::http::{response, Message};
use super::server::{start_server, Reply};
use super::TEST_TIMEOUT;
use socket2::{Domain, Socket, Type};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// An endpoint that serves all requests, and those that it got.
pub fn healthy_endpoint() -> (SocketAddr, Arc<Mutex<Vec<Message>>>) {
    let got = Arc::new(Mutex::new(Vec::new()));
    let seen = got.clone();
    let addr = start_server(move |request| {
        seen.lock().unwrap().push(request.clone());
        Reply::Send(response(200, "X-Units-Charged: 2\r\n", "stock: 12"))
    });
    (addr, got)
}

/// An endpoint to which no connection comes up until `accept_next`: its queue is full.
pub struct StalledEndpoint {
    /// Its address.
    pub addr: SocketAddr,
    socket: Socket,
    _filler: TcpStream,
}

impl StalledEndpoint {
    /// One on a port of its own.
    pub fn new() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket
            .bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into())
            .unwrap();
        socket.listen(0).unwrap();
        let addr = socket.local_addr().unwrap().as_socket().unwrap();
        StalledEndpoint {
            addr,
            socket,
            _filler: TcpStream::connect(addr).unwrap(),
        }
    }

    /// Connections that wait to come up, as the system has it.
    fn pending_connections(&self) -> usize {
        let port = format!(":{:04X}", self.addr.port());
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
        // The table holds the whole system's sockets, tens of thousands after a soak: few are looked at closely.
        let candidates = table.lines().filter(|row| row.contains(&port));
        let rows = candidates.map(|row| row.split_whitespace().collect::<Vec<_>>());
        rows.filter(|row| row[2].ends_with(&port) && row[3] == "02")
            .count()
    }

    /// Waits until this many connections wait to come up.
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
    pub fn accept_next(&self) -> TcpStream {
        drop(self.socket.accept().unwrap());
        self.socket.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        self.socket.accept().unwrap().0.into()
    }
}
