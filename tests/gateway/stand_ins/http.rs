//! HTTP messages as the stand-ins read and write them.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read};
use std::net::TcpStream;

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request or status line.
    pub line: String,
    /// The headers, with names in lower case.
    pub headers: HashMap<String, String>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// A response's status; 0 if it has none.
    pub fn status(&self) -> u16 {
        self.line
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0)
    }
}

/// Reads one message; none if the connection ends before it is whole.
pub fn read_message(from: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    from.read_line(&mut line).ok().filter(|n| *n > 0)?;
    line.trim_end().clone_into(&mut message.line);
    loop {
        let mut line = String::new();
        from.read_line(&mut line).ok().filter(|n| *n > 0)?;
        let Some((name, value)) = line.trim_end().split_once(": ") else {
            break;
        };
        message
            .headers
            .insert(name.to_ascii_lowercase(), value.to_owned());
    }
    let length = message
        .headers
        .get("content-length")
        .map_or(0, |l| l.parse().unwrap());
    message.body.resize(length, 0);
    from.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// The text of a response.
pub fn response(status: u16, headers: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
