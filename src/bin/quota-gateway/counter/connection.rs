//! One connection to the counter, on which calls are pipelined.

use super::client::{IncrementCall, QUEUE_CAPACITY};
use super::codec;
use super::report::CallReporter;
use crate::http::{Head, Reader};
use crate::rate_limited_warning::RateLimitedWarning;
use crate::socket::Socket;
use bytes::{Buf, Bytes, BytesMut};
use quota_gateway::Outcome;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::sync::mpsc::Receiver;
use tokio::time::{sleep_until, Instant};

/// A connection that has been idle for this long is closed before the counter closes it: a call written at that moment
/// could be lost.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Largest response body.
const MAX_RESPONSE_BYTES: usize = 1024;

/// What all connections share.
pub struct CounterContext {
    /// A call without a response is reported as timed out after this.
    pub call_timeout: Duration,
    pub reporter: CallReporter,
    pub invalid_response_warning: RateLimitedWarning,
}

/// A request that is queued or written and has no response yet.
struct PendingRequest {
    call: IncrementCall,
    /// Position in the connection's outgoing bytes at which the request ends.
    end_offset: u64,
    /// The call was reported as timed out, or this request adds only a part of its amount that is not the last.
    ignore_response: bool,
}

/// An open connection. All state is kept here, so that dropping `serve` at any point loses nothing.
pub struct CounterConnection {
    reader: Reader<Socket>,
    /// Another handle of the reader's socket.
    writer: Socket,
    addr: SocketAddr,
    context: Rc<CounterContext>,
    /// Bytes still to be written.
    outgoing: BytesMut,
    /// All bytes ever put into `outgoing`.
    bytes_queued: u64,
    /// Those of them that were written.
    bytes_written: u64,
    pending: VecDeque<PendingRequest>,
    /// When the last response arrived, or the connection was opened.
    last_response_at: Instant,
}

impl CounterConnection {
    pub fn new(socket: Socket, addr: SocketAddr, context: Rc<CounterContext>) -> Self {
        CounterConnection {
            reader: Reader::new(socket.clone()),
            writer: socket,
            addr,
            context,
            outgoing: BytesMut::new(),
            bytes_queued: 0,
            bytes_written: 0,
            pending: VecDeque::new(),
            last_response_at: Instant::now(),
        }
    }

    /// Puts a call into the outgoing bytes.
    pub fn enqueue(&mut self, call: &IncrementCall) {
        let requests = codec::encode(call, self.addr);
        for (index, request) in requests.iter().enumerate() {
            self.outgoing.extend_from_slice(request.as_bytes());
            self.bytes_queued += request.len() as u64;
            let is_last_part = index + 1 == requests.len();
            self.pending.push_back(PendingRequest {
                call: call.clone(),
                end_offset: self.bytes_queued,
                ignore_response: !is_last_part,
            });
        }
    }

    /// Serves calls until the connection breaks, falls silent or has been idle for too long. Without a queue it ends
    /// with the last response that is awaited.
    pub async fn serve(&mut self, mut queue: Option<&mut Receiver<IncrementCall>>) {
        loop {
            let has_room = self.pending.len() < QUEUE_CAPACITY;
            match queue.as_deref_mut() {
                Some(queue) if has_room => self.enqueue_waiting_calls(queue),
                None if !self.awaits_response() => return,
                _ => {}
            }
            let open_queue = queue.as_deref_mut().filter(|_| has_room);
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

    /// Waits for the responses to the calls in flight, then closes the connection.
    pub async fn finish(mut self) {
        self.serve(None).await;
        self.close();
    }

    /// Reports the calls that have no response: one written completely may have been added, the others were not.
    pub fn close(self) {
        for request in self
            .pending
            .iter()
            .filter(|request| !request.ignore_response)
        {
            let outcome = if request.end_offset <= self.bytes_written {
                Outcome::ConnectionReset
            } else {
                Outcome::ConnectFailed
            };
            self.context.reporter.report(&request.call, outcome, 0.0);
        }
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

    fn on_response(&mut self, response: io::Result<(Head, Bytes)>) -> ControlFlow<()> {
        self.last_response_at = Instant::now();
        let Ok((head, body)) = response else {
            return ControlFlow::Break(());
        };
        let Some(request) = self.pending.pop_front() else {
            return ControlFlow::Break(());
        };
        let reply = codec::decode(head.status, &body);
        let is_invalid = reply.outcome == Outcome::ErrorResponse;
        if is_invalid {
            self.context
                .invalid_response_warning
                .warn("invalid response from the counter with status", head.status);
        }
        if !request.ignore_response {
            self.context
                .reporter
                .report(&request.call, reply.outcome, reply.total);
        }
        // After an invalid response the connection is of no use: what follows could be taken for the response to
        // another call. The same is true of bytes that no call awaits.
        let has_unrequested_bytes = self.pending.is_empty() && self.reader.has_unread_bytes();
        if !head.keep_alive || is_invalid || has_unrequested_bytes {
            return ControlFlow::Break(());
        }
        ControlFlow::Continue(())
    }

    fn on_timer(&mut self) -> ControlFlow<()> {
        let now = Instant::now();
        self.report_timeouts(now);
        let ends_at = self
            .silence_deadline()
            .unwrap_or_else(|| self.idle_deadline());
        if ends_at <= now {
            return ControlFlow::Break(());
        }
        ControlFlow::Continue(())
    }

    fn report_timeouts(&mut self, now: Instant) {
        let timeout = self.context.call_timeout;
        for request in self
            .pending
            .iter_mut()
            .filter(|request| !request.ignore_response)
        {
            if request.call.started_at + timeout > now {
                break;
            }
            request.ignore_response = true;
            self.context
                .reporter
                .report(&request.call, Outcome::Timeout, 0.0);
        }
    }

    fn awaits_response(&self) -> bool {
        self.pending.iter().any(|request| !request.ignore_response)
    }

    /// When the timer has something to do next.
    fn wake_at(&self) -> Instant {
        let Some(silence_deadline) = self.silence_deadline() else {
            return self.idle_deadline();
        };
        match self.next_call_deadline() {
            Some(call_deadline) => call_deadline.min(silence_deadline),
            None => silence_deadline,
        }
    }

    /// When the next call is to be reported as timed out.
    fn next_call_deadline(&self) -> Option<Instant> {
        let next = self
            .pending
            .iter()
            .find(|request| !request.ignore_response)?;
        Some(next.call.started_at + self.context.call_timeout)
    }

    /// When the connection is considered dead, if responses are outstanding: a connection to a machine that vanished
    /// stays open and silent.
    fn silence_deadline(&self) -> Option<Instant> {
        let oldest = self.pending.front()?;
        Some(oldest.call.started_at.max(self.last_response_at) + 2 * self.context.call_timeout)
    }

    /// When the connection is closed, if no responses are outstanding.
    fn idle_deadline(&self) -> Instant {
        self.last_response_at + IDLE_TIMEOUT
    }
}

/// The next call from the queue; never, without one.
async fn next_call(queue: Option<&mut Receiver<IncrementCall>>) -> Option<IncrementCall> {
    match queue {
        Some(queue) => queue.recv().await,
        None => std::future::pending().await,
    }
}
