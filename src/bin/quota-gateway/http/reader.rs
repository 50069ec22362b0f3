//! Reads responses from a connection.

use super::error::MalformedResponse;
use super::head::Head;
use super::input::ResponseInput;
use super::response::{Response, ResponseBody};
use crate::memory::{ArrivingBody, BodyError, MemoryBudget, Priority};
use bytes::Bytes;
use std::io;
use std::rc::Rc;
use tokio::io::AsyncRead;

#[cfg(test)]
mod tests;

/// Reads the responses on one connection. All state is stored in the reader, so that the future of a read may be
/// dropped at any point and the read may be started again without a loss of bytes.
pub struct Reader<R> {
    input: ResponseInput<R>,
    /// The response that `read_response` is reading.
    partial: Option<PartialResponse>,
    budget: Rc<MemoryBudget>,
    priority: Priority,
}

/// A response whose head is complete.
struct PartialResponse {
    head: Head,
    /// The part of the body that is kept.
    body: ArrivingBody,
    /// A piece of the body that was read and is not kept yet, as there may be no room for it.
    piece: Bytes,
}

impl<R: AsyncRead + Unpin> Reader<R> {
    /// Creates a reader for a connection from which nothing was read yet. The bodies of responses count in `budget`, and
    /// may be given up according to their priority.
    pub fn new(io: R, budget: Rc<MemoryBudget>, priority: Priority) -> Self {
        Reader {
            input: ResponseInput::new(io, &budget),
            partial: None,
            budget,
            priority,
        }
    }

    /// The connection.
    pub fn io(&self) -> &R {
        &self.input.io
    }

    /// The connection.
    pub fn io_mut(&mut self) -> &mut R {
        &mut self.input.io
    }

    /// The memory that responses count in.
    pub fn memory(&self) -> &Rc<MemoryBudget> {
        &self.budget
    }

    /// True if the buffer holds bytes that were not parsed as a part of a response.
    pub fn has_unread_bytes(&self) -> bool {
        self.input.has_unread_bytes()
    }

    /// Reads the head of the next final response. The body is read with `read_body_chunk`.
    pub async fn read_head(&mut self) -> io::Result<Head> {
        self.input.read_head().await
    }

    /// Reads the next bytes of the body. Returns `None` at the end of the body; a body that ends too early is an error.
    pub async fn read_body_chunk(&mut self) -> io::Result<Option<Bytes>> {
        self.input.read_body_chunk().await
    }

    /// Reads a complete response with a body of at most `max_body` bytes. Between two responses the reader keeps no
    /// buffers, so that an idle connection takes no memory for the longest response that it has carried.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks before the end of the response, if the response is malformed or too long, or if its
    /// body is given up.
    pub async fn read_response(&mut self, max_body: usize) -> io::Result<Response> {
        if self.partial.is_none() {
            let head = self.input.read_head().await?;
            let announced = self.input.body().announced_bytes();
            self.partial = Some(PartialResponse {
                head,
                body: ArrivingBody::new(&self.budget, self.priority, max_body, announced),
                piece: Bytes::new(),
            });
        }
        // A body that is announced as too long fails before it is read.
        if self.input.body().announced_bytes() > Some(max_body) {
            return Err(MalformedResponse::BodyTooLong.into());
        }
        if let Some(partial) = &mut self.partial {
            partial.read_body(&mut self.input).await?;
        }
        let is_length_contradicted = self.input.contradicts_length().await;
        self.input.free_empty_buffer();
        let partial = self.partial.take().ok_or(MalformedResponse::MissingHead)?;
        let body = if is_length_contradicted {
            ResponseBody::LengthContradicted
        } else {
            ResponseBody::Complete(partial.body.finish())
        };
        Ok(Response {
            head: partial.head,
            body,
        })
    }
}

impl PartialResponse {
    /// Reads the rest of the body.
    async fn read_body<R>(&mut self, input: &mut ResponseInput<R>) -> io::Result<()>
    where
        R: AsyncRead + Unpin,
    {
        loop {
            let kept = self.body.push(&mut self.piece).await;
            kept.map_err(MalformedResponse::from)?;
            let room = self.body.make_room().await;
            room.map_err(|_| MalformedResponse::BodyGivenUp)?;
            let piece = tokio::select! {
                biased;
                () = self.body.given_up() => return Err(MalformedResponse::BodyGivenUp.into()),
                piece = input.read_body_chunk() => piece?,
            };
            match piece {
                Some(piece) => self.piece = piece,
                None => return Ok(()),
            }
        }
    }
}

impl From<BodyError> for MalformedResponse {
    fn from(error: BodyError) -> Self {
        match error {
            BodyError::TooLong { .. } => MalformedResponse::BodyTooLong,
            BodyError::GivenUp => MalformedResponse::BodyGivenUp,
        }
    }
}
