//! Responses on a socket.

use super::body::{BodyDecoder, Decoded};
use super::error::MalformedResponse;
use super::head::{parse_head, Head, MAX_HEAD_BYTES};
use bytes::{Buf, Bytes, BytesMut};
use std::io::{self, ErrorKind};
use tokio::io::{AsyncRead, AsyncReadExt};

/// Interim responses ahead of a final one; more come only from a peer that never ends.
const MAX_INTERIM_RESPONSES: u32 = 8;
/// The status of a change to another protocol.
const SWITCHING_PROTOCOLS: u16 = 101;
/// Final responses have this status or a higher one.
const FIRST_FINAL_STATUS: u16 = 200;
/// Room for one read: a usual response fits in.
const READ_BYTES: usize = 2048;

/// Reads one connection's responses. All state is kept here, so that a read whose future is dropped loses nothing.
pub struct Reader<R> {
    /// The connection.
    pub io: R,
    buffer: BytesMut,
    /// What is still to come of the body that is being read.
    body: BodyDecoder,
    interim_responses: u32,
    /// The response that `read_response` is reading: its head, and its body up to now.
    partial_head: Option<Head>,
    partial_body: BytesMut,
}

impl<R: AsyncRead + Unpin> Reader<R> {
    /// Reads from a connection on which nothing was read yet.
    pub fn new(io: R) -> Self {
        Reader {
            io,
            buffer: BytesMut::new(),
            body: BodyDecoder::Complete,
            interim_responses: 0,
            partial_head: None,
            partial_body: BytesMut::new(),
        }
    }

    /// True if bytes were read that belong to no response yet.
    pub fn has_unread_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// The next final response's head; its body follows by `read_body_chunk`.
    pub async fn read_head(&mut self) -> io::Result<Head> {
        loop {
            let Some(parsed) = parse_head(&self.buffer)? else {
                if self.buffer.len() > MAX_HEAD_BYTES {
                    return Err(MalformedResponse::HeadTooLong.into());
                }
                self.fill().await?;
                continue;
            };
            self.buffer.advance(parsed.length);
            if parsed.head.status >= FIRST_FINAL_STATUS {
                self.interim_responses = 0;
                self.body = parsed.body;
                return Ok(parsed.head);
            }
            self.interim_responses += 1;
            // Nobody asked for another protocol.
            if parsed.head.status == SWITCHING_PROTOCOLS
                || self.interim_responses > MAX_INTERIM_RESPONSES
            {
                return Err(MalformedResponse::NoFinalResponse.into());
            }
        }
    }

    /// The next bytes of the body, `None` at its proper end. A body that ends too early is an error.
    pub async fn read_body_chunk(&mut self) -> io::Result<Option<Bytes>> {
        loop {
            match self.body.decode(&mut self.buffer)? {
                Decoded::Data(data) => return Ok(Some(data)),
                Decoded::End => return Ok(None),
                Decoded::Incomplete => {}
            }
            match self.fill().await {
                Err(e)
                    if e.kind() == ErrorKind::UnexpectedEof && self.body.ends_with_connection() =>
                {
                    self.body = BodyDecoder::Complete;
                }
                other => other?,
            }
        }
    }

    /// A complete response with a body of at most `max_body` bytes.
    pub async fn read_response(&mut self, max_body: usize) -> io::Result<(Head, Bytes)> {
        if self.partial_head.is_none() {
            self.partial_head = Some(self.read_head().await?);
        }
        // A body of gigabytes is not waited for.
        if matches!(self.body, BodyDecoder::Length(length) if length > max_body) {
            return Err(MalformedResponse::BodyTooLong.into());
        }
        while let Some(chunk) = self.read_body_chunk().await? {
            self.partial_body.extend_from_slice(&chunk);
            if self.partial_body.len() > max_body {
                return Err(MalformedResponse::BodyTooLong.into());
            }
        }
        let head = self
            .partial_head
            .take()
            .ok_or(MalformedResponse::MissingHead)?;
        Ok((head, self.partial_body.split().freeze()))
    }

    async fn fill(&mut self) -> io::Result<()> {
        // Left to itself the buffer grows by 64 bytes, and each is a call to the system.
        self.buffer.reserve(READ_BYTES);
        match self.io.read_buf(&mut self.buffer).await? {
            0 => Err(ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }
}
