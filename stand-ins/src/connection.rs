//! One HTTP connection of a tokio task, of a stand-in or of a client.

use crate::message::{response, Message};
use socket2::SockRef;
use std::io::{self, ErrorKind};
use std::mem::MaybeUninit;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Bytes of an incomplete message above which the connection fails.
const MAX_BUFFERED: usize = 1 << 20;

/// A connection and the bytes that were received on it.
pub struct Connection {
    stream: TcpStream,
    received: Vec<u8>,
    first_byte_at: Instant,
}

impl Connection {
    /// Takes over a stream; small writes are sent at once.
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        // It fails on a connection that is already broken, which the next call reports.
        let _ = stream.set_nodelay(true);
        Connection {
            stream,
            received: Vec::new(),
            first_byte_at: Instant::now(),
        }
    }

    /// The next message; `None` once the peer has closed the connection.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks, or a message is longer than 1 MB.
    pub async fn receive(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some((message, length)) = Message::decode(&self.received) {
                self.received.drain(..length);
                return Ok(Some(message));
            }
            if self.received.len() > MAX_BUFFERED {
                return Err(io::Error::other("message too long"));
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

    /// When the first byte of the last message arrived. Messages that arrive together have the moment of the first.
    #[must_use]
    pub fn first_byte_at(&self) -> Instant {
        self.first_byte_at
    }

    /// True if the peer has closed or broken the connection, and that has arrived here.
    #[must_use]
    pub fn is_closed_by_peer(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        match SockRef::from(&self.stream).peek(&mut byte) {
            Ok(bytes) => bytes == 0,
            Err(error) => error.kind() != ErrorKind::WouldBlock,
        }
    }

    /// Sends bytes as they are.
    ///
    /// # Errors
    ///
    /// Fails if the connection is broken.
    pub async fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Sends a response; `headers` are complete lines. Returns the bytes sent.
    ///
    /// # Errors
    ///
    /// Fails if the connection is broken.
    pub async fn respond(&mut self, status: u16, headers: &str, body: &str) -> io::Result<usize> {
        let text = response(status, headers, body);
        self.send(text.as_bytes()).await?;
        Ok(text.len())
    }

    /// Ends the sending side.
    ///
    /// # Errors
    ///
    /// Fails if the connection is broken.
    pub async fn finish(&mut self) -> io::Result<()> {
        self.stream.shutdown().await
    }

    /// From now on, dropping the connection resets it, in place of an orderly close.
    pub fn reset_on_drop(&self) {
        // It fails on a connection that is already broken.
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }
}
