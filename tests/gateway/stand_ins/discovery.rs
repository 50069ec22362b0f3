//! A stand-in for discovery, and the endpoint lists that it sends.

use super::http::read_message;
use super::TEST_TIMEOUT;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};

/// Discovery, whose watches the test writes.
pub struct Discovery {
    /// Its address.
    pub addr: SocketAddr,
    /// Each call that came: the request line, and the connection.
    pub watches: Receiver<(String, TcpStream)>,
}

impl Discovery {
    /// One on a port of its own.
    pub fn new() -> Self {
        Discovery::at("127.0.0.1:0".parse().unwrap())
    }

    /// One at this address.
    pub fn at(addr: SocketAddr) -> Self {
        let listener = TcpListener::bind(addr).unwrap();
        let addr = listener.local_addr().unwrap();
        let (to, watches) = channel();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = stream.unwrap();
                let mut from = BufReader::new(stream.try_clone().unwrap());
                let Some(request) = read_message(&mut from) else {
                    continue;
                };
                if request.line.contains("stream=1") {
                    stream
                        .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                        .unwrap();
                }
                let _ = to.send((request.line, stream));
            }
        });
        Discovery { addr, watches }
    }

    /// The watch that follows the list on the same connection.
    pub fn watch_after_list(stream: TcpStream) -> (String, TcpStream) {
        let request = read_message(&mut BufReader::new(stream.try_clone().unwrap()))
            .expect("a watch follows the list");
        (request.line, stream)
    }

    /// Waits for the next call.
    pub fn next_watch(&self) -> (String, TcpStream) {
        self.watches
            .recv_timeout(TEST_TIMEOUT)
            .expect("the gateway opens a watch")
    }
}

/// Sends one line of a watch, in a chunk of its own.
pub fn push_update(watch: &mut TcpStream, line: &str) {
    watch
        .write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes())
        .unwrap();
}

/// One entry of an endpoint list.
pub fn list_entry(number: usize, addr: SocketAddr, state: &str) -> serde_json::Value {
    serde_json::json!({"id": format!("s-{number:08x}"), "addr": addr, "zone": "room-a", "kind": "std-2c",
        "cell": 0, "state": state, "weight": 1.0, "started_ms": 0})
}
