//! Minimal HTTP/1.1 messages for test servers and clients, without support for chunked bodies and folded headers.

use std::collections::HashMap;
use std::num::ParseIntError;

/// The bytes that end the head of a message.
pub const HEAD_END: &[u8] = b"\r\n\r\n";

/// An HTTP request or response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request or status line.
    pub line: String,
    /// The headers by name in lower case. If a name occurs more than once, only the first value is kept.
    pub headers: HashMap<String, String>,
    /// Body of the message; empty if it has none.
    pub body: Vec<u8>,
    /// Size of the head in bytes, including the empty line that ends it.
    head_bytes: usize,
}

impl Message {
    /// Parses a head, up to and including the empty line, into a message without a body.
    #[must_use]
    pub fn from_head(head: &[u8]) -> Self {
        let text = String::from_utf8_lossy(head);
        let mut lines = text.lines();
        let mut message = Message {
            line: lines.next().unwrap_or("").to_owned(),
            head_bytes: head.len(),
            ..Message::default()
        };
        for (name, value) in lines.filter_map(|line| line.split_once(':')) {
            let name = name.to_ascii_lowercase();
            message
                .headers
                .entry(name)
                .or_insert_with(|| value.trim().to_owned());
        }
        message
    }

    /// Decodes the first message in `bytes`. Returns the message and its size in bytes, or `None` if it is incomplete.
    /// An invalid `Content-Length` counts as 0.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<(Self, usize)> {
        let head_end = bytes
            .windows(HEAD_END.len())
            .position(|window| window == HEAD_END)?;
        let body_start = head_end + HEAD_END.len();
        let mut message = Message::from_head(&bytes[..body_start]);
        let end = body_start + message.content_length().unwrap_or(0);
        message.body = bytes.get(body_start..end)?.to_vec();
        Some((message, end))
    }

    /// The value of `Content-Length`; 0 if the header is missing.
    ///
    /// # Errors
    ///
    /// Fails if the value is not a number.
    pub fn content_length(&self) -> Result<usize, ParseIntError> {
        self.header("content-length").map_or(Ok(0), str::parse)
    }

    /// The value of a header. `name` must be in lower case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// The target of a request; empty if the request line has none.
    #[must_use]
    pub fn target(&self) -> &str {
        self.second_word()
    }

    /// The status code of a response; 0 if the status line has no valid code.
    #[must_use]
    pub fn status(&self) -> u16 {
        self.second_word().parse().unwrap_or(0)
    }

    /// Returns true if the message has `Connection: close`: its sender closes the connection after it.
    #[must_use]
    pub fn closes_connection(&self) -> bool {
        self.header("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }

    /// Size of head and body in bytes.
    #[must_use]
    pub fn wire_bytes(&self) -> usize {
        self.head_bytes + self.body.len()
    }

    fn second_word(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }
}

/// Formats a response with a `Content-Length`. `headers` holds complete header lines, each with its line ending.
#[must_use]
pub fn response(status: u16, headers: &str, body: &str) -> String {
    let length = body.len();
    let reason = reason_phrase(status);
    format!("HTTP/1.1 {status} {reason}\r\n{headers}Content-Length: {length}\r\n\r\n{body}")
}

/// The reason phrase of a status. Peers ignore it, so all statuses except 200 share a placeholder.
fn reason_phrase(status: u16) -> &'static str {
    if status == 200 {
        "OK"
    } else {
        "X"
    }
}

#[cfg(test)]
mod tests;
