//! Reads HTTP messages from blocking streams.

use crate::message::{Message, HEAD_END};
use std::io::{BufRead, BufReader, Read};
use std::net::TcpStream;

/// Reads one message. Returns `None` if the connection ends before the message is complete.
///
/// # Panics
///
/// Panics if `Content-Length` is not a number.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut head = Vec::new();
    while !head.ends_with(HEAD_END) {
        reader
            .read_until(b'\n', &mut head)
            .ok()
            .filter(|bytes| *bytes > 0)?;
    }
    let mut message = Message::from_head(&head);
    let length = message
        .content_length()
        .expect("the Content-Length of the message is a number");
    message.body.resize(length, 0);
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}
