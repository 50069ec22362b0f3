//! Discovery, and the endpoint lists that it sends.

use super::http::read_message;
use super::timeout::TEST_TIMEOUT;
use crate::discovery::chunk;
use crate::endpoint_list::ListEntry;
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};

/// Discovery, whose watches the test writes.
pub struct Discovery {
    /// Its address.
    pub addr: SocketAddr,
    /// Each call that came: the request line, and the connection.
    pub watches: Receiver<(String, TcpStream)>,
}

impl Default for Discovery {
    fn default() -> Self {
        Discovery::new()
    }
}

impl Discovery {
    /// One on a port of its own.
    #[must_use]
    pub fn new() -> Self {
        Discovery::at((Ipv4Addr::LOCALHOST, 0).into())
    }

    /// One at this address.
    ///
    /// # Panics
    ///
    /// Panics if the address is in use.
    #[must_use]
    pub fn at(addr: SocketAddr) -> Self {
        let listener = TcpListener::bind(addr).expect("a free address");
        let addr = listener.local_addr().expect("an address");
        let (calls, watches) = channel();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                take_call(stream.expect("a connection"), &calls);
            }
        });
        Discovery { addr, watches }
    }

    /// The watch that follows the list on the same connection.
    ///
    /// # Panics
    ///
    /// Panics if the connection ends first.
    #[must_use]
    pub fn watch_after_list(stream: TcpStream) -> (String, TcpStream) {
        let mut from = BufReader::new(stream.try_clone().expect("a second handle"));
        let request = read_message(&mut from).expect("a watch follows the list");
        (request.line, stream)
    }

    /// Waits for the next call.
    ///
    /// # Panics
    ///
    /// Panics if none comes in time.
    #[must_use]
    pub fn next_watch(&self) -> (String, TcpStream) {
        self.watches
            .recv_timeout(TEST_TIMEOUT)
            .expect("the gateway opens a watch")
    }
}

/// Reads a call, begins the response if it is a watch, and passes call and connection to the test.
fn take_call(mut stream: TcpStream, calls: &Sender<(String, TcpStream)>) {
    let mut from = BufReader::new(stream.try_clone().expect("a second handle"));
    let Some(request) = read_message(&mut from) else {
        return;
    };
    if request.line.contains("stream=1") {
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            .expect("the gateway reads");
    }
    // It fails once the test has ended.
    let _ = calls.send((request.line, stream));
}

/// Sends one line of a watch, in a chunk of its own.
///
/// # Panics
///
/// Panics if the watch is broken.
pub fn push_update(watch: &mut TcpStream, line: &str) {
    watch
        .write_all(chunk(line).as_bytes())
        .expect("the gateway reads the watch");
}

/// One entry of an endpoint list; `state` by its name on the wire.
///
/// # Panics
///
/// Panics if there is no such state.
#[must_use]
pub fn list_entry(number: usize, addr: SocketAddr, state: &str) -> serde_json::Value {
    let entry = ListEntry {
        id: format!("s-{number:08x}"),
        address: addr,
        zone: "room-a".to_owned(),
        kind: "std-2c".to_owned(),
        cell: 0,
        state: serde_json::from_value(state.into()).expect("a state of the protocol"),
        weight: 1.0,
        started_ms: 0,
    };
    serde_json::to_value(entry).expect("plain fields")
}
