//! Reads the bodies of requests.
//!
//! A client may pipeline: it sends further requests before the response to the current one. They follow the body, and
//! are lost if the connection is closed because the end of the body was not found. This module guards against that:
//!
//! - The time limit of a body applies to bytes that have not arrived. hyper passes on a body piece by piece, each once
//!   the connection's task is polled again, so a timer may fire while the rest of the body waits in a buffer. What has
//!   arrived is read first; only then has the time limit been exceeded.
//! - The body of a request that is refused by its head is read and discarded, so that the next request is found.

use super::read_gate::ReadGate;
use super::request::{ClassRoute, RequestError};
use crate::http::MAX_BODY_BYTES;
use crate::lifecycle::{Lifecycle, Phase};
use crate::memory::{ArrivingBody, BodyError, MemoryBudget, Priority, StoredBody};
use crate::poll_once::poll_once;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::Method;
use std::rc::Rc;
use tokio::task::yield_now;
use tokio::time::{sleep_until, timeout_at, Instant};

#[cfg(test)]
mod tests;

/// The body of a request, while it arrives.
pub struct RequestBody<'a, B = Incoming> {
    body: B,
    /// Time by which the body must have arrived.
    deadline: Instant,
    lifecycle: &'a Lifecycle,
    /// Closed while the body waits for memory.
    gate: &'a ReadGate,
    /// True if the body was refused while it waited for memory.
    is_refused_without_memory: bool,
}

/// A body that was read, unless the shutdown came first.
pub enum ReceivedBody {
    /// The complete body.
    Complete(StoredBody),
    /// The shutdown refuses requests, and the body is incomplete.
    Refused,
}

/// The next part of a body.
enum Piece {
    Data(Bytes),
    End,
    /// The shutdown refuses requests, and nothing more has arrived.
    Refused,
}

impl<'a, B> RequestBody<'a, B>
where
    B: Body<Data = Bytes> + Unpin,
{
    /// Wraps a body that must have arrived by the deadline. Nothing is read from its client while `gate` is closed.
    pub fn new(body: B, deadline: Instant, lifecycle: &'a Lifecycle, gate: &'a ReadGate) -> Self {
        RequestBody {
            body,
            deadline,
            lifecycle,
            gate,
            is_refused_without_memory: false,
        }
    }

    /// Checks the body before it is read, by its announced length and by the method of the class.
    ///
    /// # Errors
    ///
    /// The body is too long, or the class takes no body.
    pub fn check(&self, class: &ClassRoute) -> Result<(), RequestError> {
        if self.is_announced_too_large() {
            return Err(RequestError::BodyTooLarge);
        }
        if class.method == Method::GET && !self.body.is_end_stream() {
            return Err(RequestError::UnexpectedBody);
        }
        Ok(())
    }

    /// Reads the complete body, whose memory counts in `budget`.
    ///
    /// # Errors
    ///
    /// The body is too long, broke off, did not arrive in time, or was given up in favor of others.
    pub async fn read(&mut self, budget: &Rc<MemoryBudget>) -> Result<ReceivedBody, RequestError> {
        if self.body.is_end_stream() {
            return Ok(ReceivedBody::Complete(StoredBody::default()));
        }
        let announced = self.body.size_hint().exact();
        let announced = announced.and_then(|length| usize::try_from(length).ok());
        let mut arriving = ArrivingBody::new(budget, Priority::Request, MAX_BODY_BYTES, announced);
        loop {
            match self.next_piece_with_room(&mut arriving).await? {
                Piece::Data(mut piece) => {
                    let _closed = self.gate.close();
                    let kept = tokio::select! {
                        biased;
                        kept = timeout_at(self.deadline, arriving.push(&mut piece)) => kept,
                        () = self.refusing() => {
                            self.is_refused_without_memory = true;
                            return Ok(ReceivedBody::Refused);
                        }
                    };
                    kept.map_err(|_| RequestError::BodyGivenUp)??;
                }
                Piece::End => return Ok(ReceivedBody::Complete(arriving.finish())),
                Piece::Refused => return Ok(ReceivedBody::Refused),
            }
        }
    }

    /// Waits for room, and then for the next piece of the body.
    async fn next_piece_with_room(
        &mut self,
        arriving: &mut ArrivingBody,
    ) -> Result<Piece, RequestError> {
        let closed = self.gate.close();
        let room = tokio::select! {
            biased;
            room = timeout_at(self.deadline, arriving.make_room()) => room,
            () = self.refusing() => {
                self.is_refused_without_memory = true;
                return Ok(Piece::Refused);
            }
        };
        drop(closed);
        if !matches!(room, Ok(Ok(()))) {
            return Err(RequestError::BodyGivenUp);
        }
        tokio::select! {
            biased;
            () = arriving.given_up() => Err(RequestError::BodyGivenUp),
            piece = self.next_piece() => piece,
        }
    }

    /// Reads and discards what is left of the body. Returns true if its end was reached, so that the next request can be
    /// read. A body that is announced as too long is not read, nor one that was refused while it waited for memory: hundreds
    /// of them would take longer than the shutdown has left.
    pub async fn discard(&mut self) -> bool {
        if self.is_announced_too_large() || self.is_refused_without_memory {
            return false;
        }
        loop {
            match self.next_piece().await {
                Ok(Piece::Data(_)) => {}
                Ok(Piece::End) => return true,
                Ok(Piece::Refused) | Err(_) => return false,
            }
        }
    }

    /// Waits until the shutdown refuses requests. A body that waits for memory then waits in vain: the process would end
    /// without a response to its request.
    async fn refusing(&self) {
        self.lifecycle.wait_for_phase(Phase::Refusing).await;
    }

    fn is_announced_too_large(&self) -> bool {
        self.body.size_hint().lower() > MAX_BODY_BYTES as u64
    }

    /// Waits for the next piece of the body, until the deadline or until the shutdown refuses requests.
    async fn next_piece(&mut self) -> Result<Piece, RequestError> {
        if self.body.is_end_stream() {
            return Ok(Piece::End);
        }
        tokio::select! {
            // The body is polled first, so that what has arrived is read.
            biased;
            piece = read_piece(&mut self.body) => return piece,
            () = sleep_until(self.deadline) => {}
            () = self.lifecycle.wait_for_phase(Phase::Refusing) => {}
        }
        // Yielding makes the runtime poll the sockets, and hyper pass on the next piece if one has arrived.
        yield_now().await;
        if let Some(piece) = poll_once(read_piece(&mut self.body)).await {
            return piece;
        }
        if Instant::now() >= self.deadline {
            return Err(RequestError::BodyTimeout);
        }
        Ok(Piece::Refused)
    }
}

impl From<BodyError> for RequestError {
    fn from(error: BodyError) -> Self {
        match error {
            BodyError::TooLong { .. } => RequestError::BodyTooLarge,
            BodyError::GivenUp => RequestError::BodyGivenUp,
        }
    }
}

/// Reads the next piece of a body. Trailers count as its end.
async fn read_piece<B>(body: &mut B) -> Result<Piece, RequestError>
where
    B: Body<Data = Bytes> + Unpin,
{
    match body.frame().await {
        None => Ok(Piece::End),
        Some(Ok(frame)) => Ok(frame.into_data().map_or(Piece::End, Piece::Data)),
        Some(Err(_)) => Err(RequestError::IncompleteBody),
    }
}
