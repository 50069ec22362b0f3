//! A blocking server with a response handler that a test supplies. Used for endpoints, the counter and discovery.

use super::http::read_message;
use crate::message::Message;
use socket2::SockRef;
use std::io::{BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::Sender;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Delay between writing a response and resetting the connection, so that the peer can read the response first.
const RESET_DELAY: Duration = Duration::from_millis(50);

/// The reaction of a server to a message.
pub enum Reply {
    /// Sends the text and keeps the connection open.
    Send(String),
    /// Sends the text and closes the connection.
    SendAndClose(String),
    /// Sends the text and resets the connection after a delay in which the peer can read the text.
    SendAndReset(String),
    /// Sends nothing until the peer closes the connection or sends more bytes. Then sends the time on the channel, and
    /// closes the connection.
    StaySilent(Sender<Instant>),
}

/// Starts a server on a free port, with one thread per connection. `handler` chooses the reply to each message.
///
/// # Panics
///
/// Panics if no port is free.
pub fn start_server(handler: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let addr = listener.local_addr().expect("the listener has an address");
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let stream = stream.expect("a connection can be accepted");
            let handler = handler.clone();
            std::thread::spawn(move || serve(stream, handler.as_ref()));
        }
    });
    addr
}

/// Serves a connection until the peer or a reply ends it.
fn serve(mut stream: TcpStream, handler: &impl Fn(&Message) -> Reply) {
    let mut reader = BufReader::new(stream.try_clone().expect("the stream can be cloned"));
    while let Some(message) = read_message(&mut reader) {
        match handler(&message) {
            Reply::Send(text) => write(&mut stream, &text),
            Reply::SendAndClose(text) => {
                write(&mut stream, &text);
                stream
                    .shutdown(Shutdown::Both)
                    .expect("the connection is still open");
                return;
            }
            Reply::SendAndReset(text) => {
                write(&mut stream, &text);
                std::thread::sleep(RESET_DELAY);
                SockRef::from(&stream)
                    .set_linger(Some(Duration::ZERO))
                    .expect("the reset at the close can be set");
                return;
            }
            Reply::StaySilent(closed) => {
                let _ = reader.read(&mut [0]);
                // Sending fails once the test has ended.
                let _ = closed.send(Instant::now());
                return;
            }
        }
    }
}

fn write(stream: &mut TcpStream, text: &str) {
    stream
        .write_all(text.as_bytes())
        .expect("the peer reads the response");
}

/// An address on the loopback interface with a port on which nobody listens.
///
/// # Panics
///
/// Panics if no port is free.
#[must_use]
pub fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    listener.local_addr().expect("the listener has an address")
}
