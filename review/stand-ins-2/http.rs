//! HTTP/1.1 messages on blocking streams.

use std::io::{self, ErrorKind, Read};

/// A request or a response.
pub struct Message {
    /// The request line or the status line.
    pub line: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// The value of a header; `name` has to be in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(other, _)| other == name);
        found.map(|(_, value)| value.as_str())
    }

    /// The second word of the first line: the target of a request or the status of a response.
    fn second_word(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.second_word()
    }

    pub fn status(&self) -> u16 {
        self.second_word().parse().unwrap_or(0)
    }
}

/// Reads messages from a stream one after the other.
pub struct MessageReader<R> {
    stream: R,
    buffer: Vec<u8>,
}

impl<R: Read> MessageReader<R> {
    pub fn new(stream: R) -> Self {
        MessageReader {
            stream,
            buffer: Vec::new(),
        }
    }

    /// True if bytes were read that belong to no message so far.
    pub fn has_rest(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Reads the next message. `None` if the stream ends before the message begins.
    pub fn next(&mut self) -> io::Result<Option<Message>> {
        let head_end = loop {
            if let Some(at) = find(&self.buffer, b"\r\n\r\n") {
                break at + 4;
            }
            if !self.fill()? {
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                return Err(ErrorKind::UnexpectedEof.into());
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..head_end]).into_owned();
        let mut lines = head.lines();
        let line = lines.next().unwrap_or("").to_owned();
        let headers: Vec<_> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        let mut message = Message {
            line,
            headers,
            body: Vec::new(),
        };
        let length = message.header("content-length").unwrap_or("0");
        let length: usize = length.parse().map_err(|_| ErrorKind::InvalidData)?;
        while self.buffer.len() < head_end + length {
            if !self.fill()? {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
        message.body = self.buffer[head_end..head_end + length].to_vec();
        self.buffer.drain(..head_end + length);
        Ok(Some(message))
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut bytes = [0; 16 * 1024];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count > 0)
    }
}

fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}

/// Encodes a response with status 200. `headers` has complete lines.
pub fn ok(headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 200 OK\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}
