//! As much HTTP as the stand-ins and clients of a run need.

use std::io;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Largest body that is taken in.
const MAX_BODY: usize = 128 * 1024;
/// Most bytes that are held of one connection.
const MAX_BUFFERED: usize = 2 * MAX_BODY;
const HEAD_END: &[u8] = b"\r\n\r\n";

/// One connection and what has been received on it.
pub(super) struct Connection {
    stream: TcpStream,
    received: Vec<u8>,
}

/// A message, request or response, that has been received completely.
pub(super) struct Message {
    /// The head, without the empty line behind it.
    pub(super) head: String,
    /// Bytes of head and body.
    pub(super) bytes: usize,
}

impl Message {
    /// The second word of the first line: a request's target or a response's status.
    pub(super) fn second_word(&self) -> &str {
        self.head.split(' ').nth(1).unwrap_or("")
    }
}

impl Connection {
    pub(super) fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Connection {
            stream,
            received: Vec::new(),
        })
    }

    /// The next message; `None` once the peer has closed the connection.
    pub(super) async fn receive(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some(message) = self.take_message() {
                return Ok(Some(message));
            }
            if self.received.len() > MAX_BUFFERED {
                return Err(io::Error::other("message too long"));
            }
            if self.stream.read_buf(&mut self.received).await? == 0 {
                return Ok(None);
            }
        }
    }

    /// A complete message from what has been received.
    fn take_message(&mut self) -> Option<Message> {
        let head_end = self
            .received
            .windows(HEAD_END.len())
            .position(|window| window == HEAD_END)?;
        let head = String::from_utf8_lossy(&self.received[..head_end]).into_owned();
        let bytes = head_end + HEAD_END.len() + content_length(&head).min(MAX_BODY);
        if self.received.len() < bytes {
            return None;
        }
        self.received.drain(..bytes);
        Some(Message { head, bytes })
    }

    /// Sends bytes as they are.
    pub(super) async fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Sends a successful response; `headers` are whole lines. Returns the number of bytes sent.
    pub(super) async fn respond(&mut self, headers: &str, body: &str) -> io::Result<usize> {
        let response = format!(
            "HTTP/1.1 200 OK\r\n{headers}Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        self.send(response.as_bytes()).await?;
        Ok(response.len())
    }
}

/// The length that a head announces for its body; 0 if it announces none.
fn content_length(head: &str) -> usize {
    let announced = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length")
            .then(|| value.trim().parse().ok())?
    });
    announced.unwrap_or(0)
}
