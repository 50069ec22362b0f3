//! Reads responses from a connection.

use super::body::{BodyDecoder, Decoded};
use super::body_buffer::BodyBuffer;
use super::error::MalformedResponse;
use super::following_bytes::FollowingBytes;
use super::head::{parse_head, Head, MAX_HEAD_BYTES};
use super::response::{Response, ResponseBody};
use crate::poll_once::poll_once;
use bytes::{Buf, Bytes, BytesMut};
use std::io::{self, ErrorKind};
use tokio::io::{AsyncRead, AsyncReadExt};

#[cfg(test)]
mod tests;

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
    /// The response that `read_response` is reading.
    partial: Option<PartialResponse>,
}

/// A response whose head is complete.
struct PartialResponse {
    head: Head,
    /// The part of the body that was read.
    body: BodyBuffer,
}

impl<R: AsyncRead + Unpin> Reader<R> {
    /// Creates a reader for a connection from which nothing was read yet.
    pub fn new(io: R) -> Self {
        Reader {
            io,
            buffer: BytesMut::new(),
            body: BodyDecoder::Complete,
            interim_responses: 0,
            partial: None,
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

    /// Reads a complete response with a body of at most `max_body` bytes. Between two responses the reader keeps no
    /// buffers, so that an idle connection takes no memory for the longest response that it has carried.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks before the end of the response, or if the response is malformed or too long.
    pub async fn read_response(&mut self, max_body: usize) -> io::Result<Response> {
        if self.partial.is_none() {
            let head = self.read_head().await?;
            let body = BodyBuffer::new(max_body, self.body.announced_bytes());
            self.partial = Some(PartialResponse { head, body });
        }
        // A body that is announced as too long fails before it is read.
        if self.body.announced_bytes() > Some(max_body) {
            return Err(MalformedResponse::BodyTooLong.into());
        }
        while let Some(chunk) = self.read_body_chunk().await? {
            let partial = self
                .partial
                .as_mut()
                .ok_or(MalformedResponse::MissingHead)?;
            partial
                .body
                .push(&chunk)
                .map_err(|_| MalformedResponse::BodyTooLong)?;
        }
        let is_length_contradicted = self.body.ends_by_length() && self.has_further_body().await;
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
        let PartialResponse { head, body } =
            self.partial.take().ok_or(MalformedResponse::MissingHead)?;
        let body = if is_length_contradicted {
            ResponseBody::LengthContradicted
        } else {
            ResponseBody::Complete(body.into_bytes())
        };
        Ok(Response { head, body })
    }

    /// True if the bytes after the announced length, as far as they have arrived, may belong to the body.
    async fn has_further_body(&mut self) -> bool {
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
        // Without the reservation the buffer would grow in steps of 64 bytes, with one system call for each step.
        self.buffer.reserve(READ_BYTES);
        match self.io.read_buf(&mut self.buffer).await? {
            0 => Err(ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }
}
