//! As much HTTP as the stand-ins and clients need.

use socket2::SockRef;
use std::io::{self, ErrorKind};
use std::mem::MaybeUninit;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Instant;

const HEAD_END: &[u8] = b"\r\n\r\n";
/// Most bytes that are held of one connection.
const MAX_BUFFERED: usize = 1 << 20;

/// A message that has come whole.
pub struct Message {
    /// The head, without the empty line behind it.
    pub head: String,
    /// The body.
    pub body: Vec<u8>,
    /// When its first byte was read.
    pub began_at: Instant,
}

impl Message {
    /// The second word of the first line: a request's target or a response's status.
    pub fn second_word(&self) -> &str {
        self.head.split(' ').nth(1).unwrap_or("")
    }

    /// A response's status; 0 if it has none.
    pub fn status(&self) -> u16 {
        self.second_word().parse().unwrap_or(0)
    }

    /// The value of a header, named in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }

    /// True if the peer closes the connection behind this.
    pub fn closes(&self) -> bool {
        self.header("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().skip(1).find_map(|line| {
        let (other, value) = line.split_once(':')?;
        other.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

/// One connection and what has been received on it.
pub struct Connection {
    stream: TcpStream,
    received: Vec<u8>,
    began_at: Instant,
    /// Bytes were received since the last whole message.
    pub has_partial: bool,
}

impl Connection {
    /// Small writes are sent at once.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Connection {
            stream,
            received: Vec::new(),
            began_at: Instant::now(),
            has_partial: false,
        }
    }

    /// The next message; `None` once the peer has closed the connection.
    pub async fn receive(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some(message) = self.take_message() {
                return Ok(Some(message));
            }
            if self.received.len() > MAX_BUFFERED {
                return Err(io::Error::other("message too long"));
            }
            if self.received.is_empty() {
                self.stream.readable().await?;
                self.began_at = Instant::now();
            }
            if self.stream.read_buf(&mut self.received).await? == 0 {
                return Ok(None);
            }
            self.has_partial = true;
        }
    }

    fn take_message(&mut self) -> Option<Message> {
        let head_end = self
            .received
            .windows(HEAD_END.len())
            .position(|window| window == HEAD_END)?;
        let head = String::from_utf8_lossy(&self.received[..head_end]).into_owned();
        let body_start = head_end + HEAD_END.len();
        let length = header(&head, "content-length")
            .and_then(|value| value.parse().ok())
            .unwrap_or(0);
        if self.received.len() < body_start + length {
            return None;
        }
        let body = self.received[body_start..body_start + length].to_vec();
        self.received.drain(..body_start + length);
        self.has_partial = !self.received.is_empty();
        Some(Message {
            head,
            body,
            began_at: self.began_at,
        })
    }

    /// True if the peer has closed or broken the connection, and that has arrived here.
    pub fn is_closed_by_peer(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        match SockRef::from(&self.stream).peek(&mut byte) {
            Ok(bytes) => bytes == 0,
            Err(error) => error.kind() != ErrorKind::WouldBlock,
        }
    }

    /// Sends bytes as they are.
    pub async fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Sends a response; `headers` are whole lines.
    pub async fn respond(&mut self, status: u16, headers: &str, body: &str) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n",
            body.len()
        );
        self.send((head + body).as_bytes()).await
    }

    /// Ends the sending side.
    pub async fn finish(&mut self) -> io::Result<()> {
        self.stream.shutdown().await
    }

    /// Breaks the connection: the peer gets a reset.
    pub fn reset(self) {
        // It fails on a connection that is already broken.
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }
}
