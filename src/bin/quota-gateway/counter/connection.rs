//! One connection to the counter, on which calls are pipelined.
//!
//! This module guards against five failures:
//!
//! - A response is attributed to the wrong call, so that a customer's quota follows another customer's total. Responses
//!   arrive in the order of the requests. The connection is therefore closed after an invalid response and after bytes
//!   for which no request awaits a response.
//! - The counter's machine fails and leaves the connection open without responses, so that each call on it times out. A
//!   connection without a response for two call timeouts is closed, and the next call opens a new one.
//! - The counter closes an idle connection while a call is being written, and it is unknown whether the amount was
//!   added. This side closes an idle connection earlier than the counter does.
//! - Calls accumulate in memory because the counter does not respond. While at least `MAX_PENDING_REQUESTS` requests
//!   have no response, no call is taken from the queue. Below that limit all queued calls are taken at once, so that
//!   the requests on one connection can exceed the limit by those of a full queue (`MAX_QUEUED_CALLS`) and of one more
//!   call.
//! - The address changes while bytes are being written. All state is stored in [`CounterConnection`], so that the
//!   future of `serve` may be dropped at any point and `finish` continues from there.

use super::client::IncrementCall;
use super::codec;
use super::pending::PendingRequests;
use super::report::CallReporter;
use crate::http::{Reader, Response, ResponseBody};
use crate::memory::{MemoryBudget, Priority};
use crate::rate_limited_warning::RateLimitedWarning;
use crate::socket::Socket;
use bytes::{Buf, BytesMut};
use quota_gateway::Outcome;
use std::io;
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::sync::mpsc::Receiver;
use tokio::time::{sleep_until, Instant};

/// Idle time after which a connection is closed; shorter than the counter's own idle timeout.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// While this many requests have no response, no more calls are taken from the queue.
const MAX_PENDING_REQUESTS: usize = 256;
/// Maximum size of a response's body.
const MAX_RESPONSE_BYTES: usize = 1024;

/// The state that all connections to the counter share.
pub struct CounterContext {
    /// Time after which a call without a response is reported as timed out.
    pub call_timeout: Duration,
    /// Reports the result of each call.
    pub reporter: CallReporter,
    /// Counts the bodies of responses.
    pub memory: Rc<MemoryBudget>,
    /// The warning about an invalid response.
    pub invalid_response_warning: RateLimitedWarning,
}

/// An open connection.
pub struct CounterConnection {
    reader: Reader<Socket>,
    /// Another handle of the reader's socket.
    writer: Socket,
    addr: SocketAddr,
    context: Rc<CounterContext>,
    /// Bytes that are not written to the socket yet.
    outgoing: BytesMut,
    /// Total number of bytes that were ever appended to `outgoing`.
    bytes_queued: u64,
    /// Total number of bytes of `outgoing` that were written to the socket.
    bytes_written: u64,
    pending: PendingRequests,
    /// Time at which the last response arrived or the connection was opened.
    last_response_at: Instant,
}

impl CounterConnection {
    /// Wraps a socket that has just been connected to `addr`.
    pub fn new(socket: Socket, addr: SocketAddr, context: Rc<CounterContext>) -> Self {
        CounterConnection {
            reader: Reader::new(socket.clone(), context.memory.clone(), Priority::Essential),
            writer: socket,
            addr,
            context,
            outgoing: BytesMut::new(),
            bytes_queued: 0,
            bytes_written: 0,
            pending: PendingRequests::default(),
            last_response_at: Instant::now(),
        }
    }

    /// Appends the requests of a call to the outgoing bytes.
    pub fn enqueue(&mut self, call: &IncrementCall) {
        let requests = codec::encode(call, self.addr);
        for (index, request) in requests.iter().enumerate() {
            self.outgoing.extend_from_slice(request.as_bytes());
            self.bytes_queued += request.len() as u64;
            let is_last_part = index + 1 == requests.len();
            self.pending.push(call, self.bytes_queued, is_last_part);
        }
    }

    /// Serves calls until the connection breaks, has no response for too long or is idle for too long. Without a queue,
    /// returns after the last awaited response.
    pub async fn serve(&mut self, mut queue: Option<&mut Receiver<IncrementCall>>) {
        loop {
            let can_enqueue = self.pending.len() < MAX_PENDING_REQUESTS;
            match queue.as_deref_mut() {
                Some(queue) if can_enqueue => self.enqueue_waiting_calls(queue),
                None if !self.pending.awaits_response() => return,
                _ => {}
            }
            let open_queue = queue.as_deref_mut().filter(|_| can_enqueue);
            let wake_at = self.wake_at();
            let flow = tokio::select! {
                call = next_call(open_queue) => self.on_call(call),
                written = self.writer.write(&self.outgoing), if !self.outgoing.is_empty() => self.on_written(written.ok()),
                response = self.reader.read_response(MAX_RESPONSE_BYTES) => self.on_response(response),
                () = sleep_until(wake_at) => self.on_timer(),
            };
            if flow.is_break() {
                return;
            }
        }
    }

    /// Waits for the responses to the calls in flight and then closes the connection.
    pub async fn finish(mut self) {
        self.serve(None).await;
        self.close();
    }

    /// Reports the calls that have no response, and closes the connection.
    pub fn close(self) {
        self.pending
            .report_unanswered(&self.context.reporter, self.bytes_written);
    }

    fn enqueue_waiting_calls(&mut self, queue: &mut Receiver<IncrementCall>) {
        while let Ok(call) = queue.try_recv() {
            self.enqueue(&call);
        }
    }

    fn on_call(&mut self, call: Option<IncrementCall>) -> ControlFlow<()> {
        let Some(call) = call else {
            return ControlFlow::Break(());
        };
        self.enqueue(&call);
        ControlFlow::Continue(())
    }

    fn on_written(&mut self, written: Option<usize>) -> ControlFlow<()> {
        match written {
            Some(bytes) if bytes > 0 => {
                self.outgoing.advance(bytes);
                self.bytes_written += bytes as u64;
                ControlFlow::Continue(())
            }
            _ => ControlFlow::Break(()),
        }
    }

    fn on_response(&mut self, response: io::Result<Response>) -> ControlFlow<()> {
        self.last_response_at = Instant::now();
        // A total whose length is contradicted may be truncated, and would be the total of nobody.
        let Ok(Response {
            head,
            body: ResponseBody::Complete(body),
        }) = response
        else {
            return ControlFlow::Break(());
        };
        if self.pending.is_empty() {
            return ControlFlow::Break(());
        }
        let response = codec::decode(head.status, &body.to_vec());
        let is_invalid = response.outcome == Outcome::ErrorResponse;
        if is_invalid {
            self.context.invalid_response_warning.warn(
                "invalid response from the counter, HTTP status",
                head.status,
            );
        }
        self.pending
            .report_response(&self.context.reporter, response.outcome, response.total);
        // The remaining bytes could be taken for the response to another call.
        let has_unrequested_bytes = self.pending.is_empty() && self.reader.has_unread_bytes();
        if !head.keep_alive || is_invalid || has_unrequested_bytes {
            return ControlFlow::Break(());
        }
        ControlFlow::Continue(())
    }

    fn on_timer(&mut self) -> ControlFlow<()> {
        let now = Instant::now();
        self.pending
            .report_timeouts(&self.context.reporter, self.context.call_timeout, now);
        let close_at = self
            .response_deadline()
            .unwrap_or_else(|| self.idle_deadline());
        if close_at <= now {
            return ControlFlow::Break(());
        }
        ControlFlow::Continue(())
    }

    /// Time at which the timer has to fire next.
    fn wake_at(&self) -> Instant {
        let Some(response_deadline) = self.response_deadline() else {
            return self.idle_deadline();
        };
        match self.next_call_deadline() {
            Some(call_deadline) => call_deadline.min(response_deadline),
            None => response_deadline,
        }
    }

    /// Time at which the next call is reported as timed out.
    fn next_call_deadline(&self) -> Option<Instant> {
        let started_at = self.pending.oldest_awaited_started_at()?;
        Some(started_at + self.context.call_timeout)
    }

    /// Time at which the connection counts as broken without a response; `None` if no responses are outstanding.
    fn response_deadline(&self) -> Option<Instant> {
        let started_at = self.pending.oldest_started_at()?;
        Some(started_at.max(self.last_response_at) + 2 * self.context.call_timeout)
    }

    /// Time at which the connection is closed as idle, if no responses are outstanding.
    fn idle_deadline(&self) -> Instant {
        self.last_response_at + IDLE_TIMEOUT
    }
}

/// Receives the next call from the queue. Never completes without a queue.
async fn next_call(queue: Option<&mut Receiver<IncrementCall>>) -> Option<IncrementCall> {
    match queue {
        Some(queue) => queue.recv().await,
        None => std::future::pending().await,
    }
}
