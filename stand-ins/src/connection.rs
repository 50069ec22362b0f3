//! An asynchronous HTTP/1.1 connection, used by servers and by test clients.

use crate::message::{response, Message};
use socket2::SockRef;
use std::io::{self, ErrorKind};
use std::mem::MaybeUninit;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Maximum size of an incomplete message, in bytes. Receiving fails above it.
const MAX_BUFFERED: usize = 1 << 20;

/// A TCP connection with a buffer for received bytes.
pub struct Connection {
    stream: TcpStream,
    received: Vec<u8>,
    first_byte_at: Instant,
}

impl Connection {
    /// Wraps a stream and sets `TCP_NODELAY` on it.
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        // Setting the option fails only on a broken connection, which the next read or write reports.
        let _ = stream.set_nodelay(true);
        Connection {
            stream,
            received: Vec::new(),
            first_byte_at: Instant::now(),
        }
    }

    /// Receives the next message. Returns `None` once the peer has closed the connection.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks, or if an incomplete message exceeds 1 MiB.
    pub async fn receive(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some((message, length)) = Message::decode(&self.received) {
                self.received.drain(..length);
                return Ok(Some(message));
            }
            if self.received.len() > MAX_BUFFERED {
                return Err(io::Error::other(
                    "received more than 1 MiB without a complete message",
                ));
            }
            if self.received.is_empty() {
                self.stream.readable().await?;
                self.first_byte_at = Instant::now();
            }
            if self.stream.read_buf(&mut self.received).await? == 0 {
                return Ok(None);
            }
        }
    }

    /// The time at which the first byte of the last received message arrived. Pipelined messages that arrive together
    /// share the time of the first one.
    #[must_use]
    pub fn first_byte_at(&self) -> Instant {
        self.first_byte_at
    }

    /// Returns true if the peer's close or reset of the connection has been received. A close that follows unread bytes
    /// is not detected.
    #[must_use]
    pub fn is_closed_by_peer(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        match SockRef::from(&self.stream).peek(&mut byte) {
            Ok(bytes) => bytes == 0,
            Err(error) => error.kind() != ErrorKind::WouldBlock,
        }
    }

    /// Sends bytes unchanged.
    ///
    /// # Errors
    ///
    /// Fails if the connection is broken.
    pub async fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Sends a response and returns its size in bytes. `headers` holds complete header lines with their line endings.
    ///
    /// # Errors
    ///
    /// Fails if the connection is broken.
    pub async fn respond(&mut self, status: u16, headers: &str, body: &str) -> io::Result<usize> {
        let text = response(status, headers, body);
        self.send(text.as_bytes()).await?;
        Ok(text.len())
    }

    /// Closes the sending side of the connection.
    ///
    /// # Errors
    ///
    /// Fails if the connection is broken.
    pub async fn close_write(&mut self) -> io::Result<()> {
        self.stream.shutdown().await
    }

    /// Makes a later drop reset the connection instead of closing it in order.
    pub fn reset_on_drop(&self) {
        // Setting the option fails only on a broken connection, which needs no reset.
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }
}
