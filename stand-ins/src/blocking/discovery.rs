//! Blocking discovery server whose responses a test writes, and entries of its endpoint lists.

use super::http::read_message;
use super::timeout::TEST_TIMEOUT;
use crate::discovery::chunk;
use crate::endpoint_list::ListEntry;
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};

/// A discovery server that reads calls. The test writes the lists and the lines of watches.
pub struct Discovery {
    /// Address on which discovery listens.
    pub addr: SocketAddr,
    /// Received calls: the request line and the connection of each.
    pub calls: Receiver<(String, TcpStream)>,
}

impl Default for Discovery {
    fn default() -> Self {
        Discovery::new()
    }
}

impl Discovery {
    /// Starts discovery on a free port.
    #[must_use]
    pub fn new() -> Self {
        Discovery::at((Ipv4Addr::LOCALHOST, 0).into())
    }

    /// Starts discovery at an address.
    ///
    /// # Panics
    ///
    /// Panics if the address is in use.
    #[must_use]
    pub fn at(addr: SocketAddr) -> Self {
        let listener = TcpListener::bind(addr).expect("the address of discovery is free");
        let addr = listener.local_addr().expect("the listener has an address");
        let (call_sender, calls) = channel();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                receive_call(stream.expect("a connection can be accepted"), &call_sender);
            }
        });
        Discovery { addr, calls }
    }

    /// Receives the watch that follows a complete list on the same connection.
    ///
    /// # Panics
    ///
    /// Panics if the connection ends first.
    #[must_use]
    pub fn watch_after_list(stream: TcpStream) -> (String, TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().expect("the stream can be cloned"));
        let request = read_message(&mut reader)
            .expect("the gateway opens a watch on the connection of the list");
        (request.line, stream)
    }

    /// Waits for the next call, for a watch or for the complete list.
    ///
    /// # Panics
    ///
    /// Panics if no call arrives within [`TEST_TIMEOUT`].
    #[must_use]
    pub fn next_call(&self) -> (String, TcpStream) {
        self.calls
            .recv_timeout(TEST_TIMEOUT)
            .expect("the gateway calls discovery in time")
    }
}

/// Reads a call and passes it to the test. If the call opens a watch, the head of the response is sent first.
fn receive_call(mut stream: TcpStream, calls: &Sender<(String, TcpStream)>) {
    let mut reader = BufReader::new(stream.try_clone().expect("the stream can be cloned"));
    let Some(request) = read_message(&mut reader) else {
        return;
    };
    if request.line.contains("stream=1") {
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            .expect("the gateway reads the response");
    }
    // Sending fails once the test has ended.
    let _ = calls.send((request.line, stream));
}

/// Sends one line of a watch as one chunk.
///
/// # Panics
///
/// Panics if the connection is broken.
pub fn push_update(watch: &mut TcpStream, line: &str) {
    watch
        .write_all(chunk(line).as_bytes())
        .expect("the gateway reads the watch");
}

/// An entry of an endpoint list. `state` is the name of the state on the wire.
///
/// # Panics
///
/// Panics if `state` is unknown.
#[must_use]
pub fn list_entry(number: usize, addr: SocketAddr, state: &str) -> serde_json::Value {
    let entry = ListEntry {
        id: format!("s-{number:08x}"),
        address: addr,
        zone: "room-a".to_owned(),
        kind: "std-2c".to_owned(),
        cell: 0,
        state: serde_json::from_value(state.into())
            .expect("the state is one of the endpoint list's states"),
        weight: 1.0,
        started_ms: 0,
    };
    serde_json::to_value(entry).expect("an entry can be serialized")
}
