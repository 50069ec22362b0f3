//! Reads responses from a connection.

use super::body::{BodyDecoder, Decoded};
use super::error::MalformedResponse;
use super::head::{parse_head, Head, MAX_HEAD_BYTES};
use bytes::{Buf, Bytes, BytesMut};
use std::io::{self, ErrorKind};
use tokio::io::{AsyncRead, AsyncReadExt};

/// Maximum number of interim responses before a final one. Bounds the work for a peer that sends them without end.
const MAX_INTERIM_RESPONSES: u32 = 8;
/// Status code 101 Switching Protocols.
const SWITCHING_PROTOCOLS: u16 = 101;
/// Lowest status code of a final response.
const FIRST_FINAL_STATUS: u16 = 200;
/// Buffer capacity for one read, in which a typical response fits.
const READ_BYTES: usize = 2048;

/// Reads the responses on one connection. All state is stored in the reader, so that the future of a read may be
/// dropped at any point and the read may be started again without a loss of bytes.
pub struct Reader<R> {
    /// The connection.
    pub io: R,
    buffer: BytesMut,
    /// Decoder of the body that is being read.
    body: BodyDecoder,
    interim_responses: u32,
    /// Head of the response that `read_response` is reading.
    partial_head: Option<Head>,
    /// Body bytes that `read_response` has read so far.
    partial_body: BytesMut,
}

impl<R: AsyncRead + Unpin> Reader<R> {
    /// Creates a reader for a connection from which nothing was read yet.
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

    /// True if the buffer holds bytes that were not parsed as a part of a response.
    pub fn has_unread_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Reads the head of the next final response. The body is read with `read_body_chunk`.
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
            // The gateway never requests another protocol.
            if parsed.head.status == SWITCHING_PROTOCOLS
                || self.interim_responses > MAX_INTERIM_RESPONSES
            {
                return Err(MalformedResponse::NoFinalResponse.into());
            }
        }
    }

    /// Reads the next bytes of the body. Returns `None` at the end of the body; a body that ends too early is an error.
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

    /// Reads a complete response with a body of at most `max_body` bytes.
    pub async fn read_response(&mut self, max_body: usize) -> io::Result<(Head, Bytes)> {
        if self.partial_head.is_none() {
            self.partial_head = Some(self.read_head().await?);
        }
        // A body that is announced as too long fails before it is read.
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
        // Without the reservation the buffer would grow in steps of 64 bytes, with one system call for each step.
        self.buffer.reserve(READ_BYTES);
        match self.io.read_buf(&mut self.buffer).await? {
            0 => Err(ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }
}
