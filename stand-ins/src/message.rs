//! HTTP/1.1 messages as stand-ins and their clients need them: no chunked bodies, no folded headers.

use std::collections::HashMap;
use std::num::ParseIntError;

/// What ends a head.
pub const HEAD_END: &[u8] = b"\r\n\r\n";

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request or status line.
    pub line: String,
    /// The headers, with names in lower case. Of several with one name, the first.
    pub headers: HashMap<String, String>,
    /// The body.
    pub body: Vec<u8>,
    /// Bytes of the head, with the empty line that ends it.
    head_bytes: usize,
}

impl Message {
    /// A message without its body, from its head up to and including the empty line.
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

    /// The first message in these bytes and its length, if it is complete. A length that is not a number counts as 0.
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

    /// The length of the body according to the head; 0 if the head does not say.
    ///
    /// # Errors
    ///
    /// Fails if the header is not a number.
    pub fn content_length(&self) -> Result<usize, ParseIntError> {
        self.header("content-length").map_or(Ok(0), str::parse)
    }

    /// The value of a header, named in lower case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// A request's target.
    #[must_use]
    pub fn target(&self) -> &str {
        self.second_word()
    }

    /// A response's status; 0 if it has none.
    #[must_use]
    pub fn status(&self) -> u16 {
        self.second_word().parse().unwrap_or(0)
    }

    /// True if the peer closes the connection behind this message.
    #[must_use]
    pub fn closes_connection(&self) -> bool {
        self.header("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }

    /// Bytes of head and body.
    #[must_use]
    pub fn wire_bytes(&self) -> usize {
        self.head_bytes + self.body.len()
    }

    fn second_word(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }
}

/// The text of a response with a length; `headers` are complete lines.
#[must_use]
pub fn response(status: u16, headers: &str, body: &str) -> String {
    let length = body.len();
    let reason = reason_phrase(status);
    format!("HTTP/1.1 {status} {reason}\r\n{headers}Content-Length: {length}\r\n\r\n{body}")
}

/// Peers ignore the phrase; only the frequent one is spelled out.
fn reason_phrase(status: u16) -> &'static str {
    if status == 200 {
        "OK"
    } else {
        "X"
    }
}

#[cfg(test)]
mod tests;
