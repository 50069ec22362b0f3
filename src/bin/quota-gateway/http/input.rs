//! Decodes the bytes of a connection into the heads and the pieces of the bodies of responses.

use super::body::{BodyDecoder, Decoded};
use super::error::MalformedResponse;
use super::following_bytes::FollowingBytes;
use super::head::{parse_head, Head, MAX_HEAD_BYTES};
use crate::memory::{MemoryBudget, Reservation};
use crate::poll_once::poll_once;
use bytes::{Buf, Bytes, BytesMut};
use std::future::poll_fn;
use std::io::{self, ErrorKind};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, ReadBuf};

/// Maximum number of interim responses before a final one. Bounds the work for a peer that sends them without end.
const MAX_INTERIM_RESPONSES: u32 = 8;
/// Status code 101 Switching Protocols.
const SWITCHING_PROTOCOLS: u16 = 101;
/// Lowest status code of a final response.
const FIRST_FINAL_STATUS: u16 = 200;
/// Maximum size of one read, in which a typical response fits.
const READ_BYTES: usize = 4096;

/// The bytes that were read from a connection, and the state of their decoding.
pub struct ResponseInput<R> {
    /// The connection.
    pub io: R,
    buffer: BytesMut,
    /// Counts the buffer.
    reservation: Reservation,
    /// Decoder of the body that is being read.
    body: BodyDecoder,
    interim_responses: u32,
}

impl<R: AsyncRead + Unpin> ResponseInput<R> {
    /// Creates the input of a connection from which nothing was read yet. Its buffer counts in `budget`.
    pub fn new(io: R, budget: &Rc<MemoryBudget>) -> Self {
        ResponseInput {
            io,
            buffer: BytesMut::new(),
            reservation: budget.reserve(),
            body: BodyDecoder::Complete,
            interim_responses: 0,
        }
    }

    /// The decoder of the body that is being read.
    pub fn body(&self) -> &BodyDecoder {
        &self.body
    }

    /// True if the buffer holds bytes that were not parsed as a part of a response.
    pub fn has_unread_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Capacity of the buffer for bytes that were not parsed.
    #[cfg(test)]
    pub fn buffer_capacity(&self) -> usize {
        self.buffer.capacity()
    }

    /// Frees the buffer, unless it holds bytes.
    pub fn free_empty_buffer(&mut self) {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
            self.reservation.set(0);
        }
    }

    /// Reads the head of the next final response.
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

    /// True if the bytes after the announced length of a body, as far as they have arrived, may belong to the body.
    pub async fn contradicts_length(&mut self) -> bool {
        if !self.body.ends_by_length() {
            return false;
        }
        // The announced length may end where a read ended, with more bytes in the socket. An error or the end of the
        // stream means that nothing follows.
        let _ = poll_once(self.fill()).await;
        loop {
            match FollowingBytes::classify(&self.buffer) {
                FollowingBytes::Nothing | FollowingBytes::Response => return false,
                FollowingBytes::Other => return true,
                FollowingBytes::PartOfResponse if self.fill().await.is_err() => return true,
                FollowingBytes::PartOfResponse => {}
            }
        }
    }

    async fn fill(&mut self) -> io::Result<()> {
        poll_fn(|cx| self.poll_fill(cx)).await
    }

    /// Reads into the buffer. The bytes are read into the stack first: a connection that waits for its response keeps
    /// no buffer.
    fn poll_fill(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut storage = [0; READ_BYTES];
        let mut read = ReadBuf::new(&mut storage);
        ready!(Pin::new(&mut self.io).poll_read(cx, &mut read))?;
        if read.filled().is_empty() {
            return Poll::Ready(Err(ErrorKind::UnexpectedEof.into()));
        }
        self.buffer.extend_from_slice(read.filled());
        self.reservation.set(self.buffer.capacity());
        Poll::Ready(Ok(()))
    }
}
