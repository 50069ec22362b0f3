//! A server that replies to each request as the test has it. Stands in for endpoints, the counter and discovery.

use super::http::{read_message, Message};
use socket2::SockRef;
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::sync::mpsc::Sender;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What was written has been read by the other side after this, if that reads at all.
const RESET_DELAY: Duration = Duration::from_millis(50);

/// What a stand-in server does with a message.
pub enum Reply {
    /// Writes this and keeps the connection.
    Send(String),
    /// Writes this and closes the connection.
    SendAndClose(String),
    /// Writes this and resets the connection once it has arrived.
    SendAndReset(String),
    /// Says nothing until the other side has closed, then notes that by the sender.
    StaySilent(Sender<Instant>),
}

/// Starts a server on a port of its own, with a thread for each connection.
pub fn start_server(handler: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let handler = handler.clone();
            std::thread::spawn(move || {
                let mut from = BufReader::new(stream.try_clone().unwrap());
                while let Some(message) = read_message(&mut from) {
                    match handler(&message) {
                        Reply::Send(text) => stream.write_all(text.as_bytes()).unwrap(),
                        Reply::SendAndClose(text) => {
                            stream.write_all(text.as_bytes()).unwrap();
                            stream.shutdown(Shutdown::Both).unwrap();
                            return;
                        }
                        Reply::SendAndReset(text) => {
                            stream.write_all(text.as_bytes()).unwrap();
                            std::thread::sleep(RESET_DELAY);
                            SockRef::from(&stream)
                                .set_linger(Some(Duration::ZERO))
                                .unwrap();
                            return;
                        }
                        Reply::StaySilent(closed) => {
                            let _ = from.read(&mut [0]);
                            let _ = closed.send(Instant::now());
                            return;
                        }
                    }
                }
            });
        }
    });
    addr
}

/// A port on which nobody listens.
pub fn unused_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}
