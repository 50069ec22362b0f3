//! A server whose replies a function of the test makes. Stands in for endpoints, the counter and discovery.

use super::http::read_message;
use crate::message::Message;
use socket2::SockRef;
use std::io::{BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::Sender;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What was written has been read by the other side after this, if that reads at all.
const RESET_DELAY: Duration = Duration::from_millis(50);

/// What a server does with a message.
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
///
/// # Panics
///
/// Panics if no port is free.
pub fn start_server(handler: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let stream = stream.expect("a connection");
            let handler = handler.clone();
            std::thread::spawn(move || serve(stream, handler.as_ref()));
        }
    });
    addr
}

/// Serves a connection until it ends or a reply ends it.
fn serve(mut stream: TcpStream, handler: &impl Fn(&Message) -> Reply) {
    let mut from = BufReader::new(stream.try_clone().expect("a second handle"));
    while let Some(message) = read_message(&mut from) {
        match handler(&message) {
            Reply::Send(text) => write(&mut stream, &text),
            Reply::SendAndClose(text) => {
                write(&mut stream, &text);
                stream.shutdown(Shutdown::Both).expect("an open connection");
                return;
            }
            Reply::SendAndReset(text) => {
                write(&mut stream, &text);
                std::thread::sleep(RESET_DELAY);
                SockRef::from(&stream)
                    .set_linger(Some(Duration::ZERO))
                    .expect("an open connection");
                return;
            }
            Reply::StaySilent(closed) => {
                let _ = from.read(&mut [0]);
                // It fails once the test has ended.
                let _ = closed.send(Instant::now());
                return;
            }
        }
    }
}

fn write(stream: &mut TcpStream, text: &str) {
    stream
        .write_all(text.as_bytes())
        .expect("the other side reads");
}

/// A port on which nobody listens.
///
/// # Panics
///
/// Panics if no port is free.
#[must_use]
pub fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    listener.local_addr().expect("an address")
}
