//! A client's stream that detects a disconnect while a request is being served.
//!
//! Guards against a client that sends pipelined bytes after its request and disconnects. hyper stops reading once it
//! has bytes of the next request, so the end of the stream would not be detected, and attempts and retries would
//! continue for a client that will not read the response: attempts would be written more than 0.1 s after the
//! disconnect.
//!
//! While a request is being served, the connection therefore reads from the socket itself:
//!
//! 1. Pipelined bytes are buffered within the limits of `read_ahead`, and hyper reads them later.
//! 2. Once a client reaches its own limit, all further bytes are discarded. Requests in the discarded bytes are not
//!    served.
//! 3. Once the budget of all clients is used up, nothing is read, and the system is polled for the end of the stream.
//!    The system detects the end only if all bytes before it fit into its receive buffer, so the bytes of a client with
//!    at least [`MAX_UNREAD_BYTES`] unread are discarded as well.

use super::client::Client;
use super::read_ahead::{ReadAheadBudget, ReadAheadBuffer};
use crate::memory::Reservation;
use crate::socket::{PeekResult, Socket};
use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{sleep, Instant, Sleep};

#[cfg(test)]
mod tests;

/// Interval at which the system is polled for a disconnect of a client that is not being read. A disconnect has to be
/// detected within 0.1 s, because an attempt that is written later breaks a rule.
const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(40);
/// Once this many bytes of a client are unread, they are read and discarded. The system's receive buffer holds more, so
/// that the end of the stream always fits in.
const MAX_UNREAD_BYTES: usize = 32 * 1024;
/// Interval at which a client that is not read for lack of memory is looked at again.
const READ_RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum number of discarded bytes of one client, which bounds the work.
const MAX_DISCARDED_BYTES: u64 = 64 << 20;
/// Maximum size of one read by hyper, which doubles its buffer after reads that fill it.
const MAX_READ_BYTES: usize = 2048;
/// Initial capacity of hyper's buffer for a connection, which is set aside for each connection.
const HYPER_BUFFER_BYTES: usize = 8 * 1024;
/// Maximum size of one read into the read-ahead buffer.
pub const READ_AHEAD_BYTES: usize = 4096;
/// Size of one read of bytes that are discarded.
const DISCARD_BUFFER_BYTES: usize = 16 * 1024;

/// A client's stream. Clones are handles of the same stream: hyper holds one, the connection's loop another.
#[derive(Clone)]
pub struct ClientStream {
    state: Rc<RefCell<StreamState>>,
}

struct StreamState {
    socket: Socket,
    client: Rc<Client>,
    /// Bytes that were read while a request was being served and that hyper has not read yet.
    read_ahead: ReadAheadBuffer,
    budget: ReadAheadBudget,
    /// Counts the part of hyper's buffer that exceeds its initial capacity.
    hyper_buffer: Reservation,
    disconnect_poll_timer: Pin<Box<Sleep>>,
    /// Runs while nothing is read for lack of memory.
    read_retry_timer: Option<Pin<Box<Sleep>>>,
    /// Number of bytes after `read_ahead` that were discarded. If there are any, hyper reads the end of the stream in
    /// their place.
    discarded: u64,
    /// True if the client has closed its side or the connection is broken.
    ended: bool,
}

impl StreamState {
    /// Reads and buffers pipelined bytes, or detects the end of the stream.
    fn poll_read_ahead(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let mut storage = [0; READ_AHEAD_BYTES];
        let mut buffer = ReadBuf::new(&mut storage);
        let result = ready!(Pin::new(&mut self.socket).poll_read(cx, &mut buffer));
        let bytes = buffer.filled();
        if result.is_err() || bytes.is_empty() {
            self.ended = true;
        } else {
            self.read_ahead.push(bytes);
            self.client.set_pipelined_bytes(self.read_ahead.len());
        }
        Poll::Ready(())
    }

    /// Reads and discards pipelined bytes, or detects the end of the stream.
    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let mut storage = [0; DISCARD_BUFFER_BYTES];
        let mut buffer = ReadBuf::new(&mut storage);
        let result = ready!(Pin::new(&mut self.socket).poll_read(cx, &mut buffer));
        let bytes = buffer.filled().len();
        self.ended = result.is_err() || bytes == 0;
        self.discarded += bytes as u64;
        Poll::Ready(())
    }

    /// Asks the system at the next interval whether the client has closed its side.
    fn poll_peer_closed(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        ready!(self.disconnect_poll_timer.as_mut().poll(cx));
        self.disconnect_poll_timer
            .set(sleep(DISCONNECT_POLL_INTERVAL));
        self.ended = self.socket.peer_has_closed();
        Poll::Ready(())
    }

    /// Buffers or discards the next bytes, or polls for the end of the stream, by the rules in the module
    /// documentation.
    fn poll_for_end(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let is_discarding = self.discarded > 0 || self.read_ahead.is_full();
        if is_discarding && self.discarded < MAX_DISCARDED_BYTES {
            return self.poll_discard(cx);
        }
        if !is_discarding && self.budget.has_room() {
            return self.poll_read_ahead(cx);
        }
        ready!(self.poll_peer_closed(cx));
        if !self.ended
            && self.discarded < MAX_DISCARDED_BYTES
            && self.socket.has_unread_bytes(MAX_UNREAD_BYTES)
        {
            return self.poll_discard(cx);
        }
        Poll::Ready(())
    }

    /// Counts hyper's buffer, which grows while a head is incomplete and is kept until the connection ends. hyper offers
    /// the unused part of its buffer to a read, at least half of it once it has grown. `available` is its length.
    fn count_hyper_buffer(&mut self, available: usize) {
        let capacity = available.next_power_of_two();
        let grown = capacity.saturating_sub(HYPER_BUFFER_BYTES);
        if grown > self.hyper_buffer.bytes() {
            self.hyper_buffer.set(grown);
        }
    }

    /// Ready once there is memory for what bytes of the client need.
    fn poll_memory(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        while !self.budget.may_read() {
            self.client.set_read_delayed(true);
            let timer = self
                .read_retry_timer
                .get_or_insert_with(|| Box::pin(sleep(READ_RETRY_INTERVAL)));
            ready!(timer.as_mut().poll(cx));
            self.read_retry_timer = None;
        }
        if self.read_retry_timer.take().is_some() || self.client.is_read_delayed() {
            self.client.set_read_delayed(false);
        }
        Poll::Ready(())
    }

    /// Moves buffered bytes that arrived together into `buf`.
    fn take_read_ahead(&mut self, buf: &mut ReadBuf<'_>) {
        if let Some(taken) = self.read_ahead.take(buf.remaining()) {
            buf.put_slice(&taken.bytes);
            self.client.on_bytes_read(&taken.bytes, taken.arrived_at);
            self.client.set_pipelined_bytes(self.read_ahead.len());
        }
    }
}

impl ClientStream {
    /// Wraps a socket. Buffered bytes count towards `budget`, and reads are recorded in `client`.
    pub fn new(socket: Socket, client: Rc<Client>, budget: ReadAheadBudget) -> Self {
        let state = StreamState {
            socket,
            client,
            read_ahead: ReadAheadBuffer::new(budget.clone()),
            hyper_buffer: budget.reserve(),
            budget,
            disconnect_poll_timer: Box::pin(sleep(DISCONNECT_POLL_INTERVAL)),
            read_retry_timer: None,
            discarded: 0,
            ended: false,
        };
        ClientStream {
            state: Rc::new(RefCell::new(state)),
        }
    }

    /// Ready once the client has closed its side or the connection is broken. Bytes sent before are buffered, up to a
    /// limit.
    pub fn poll_disconnected(&self, cx: &mut Context<'_>) -> Poll<()> {
        let state = &mut *self.state.borrow_mut();
        while !state.ended {
            ready!(state.poll_for_end(cx));
        }
        Poll::Ready(())
    }

    /// True if the system has received bytes that were not read, even if the runtime was not notified of them yet.
    pub fn has_unread_bytes(&self) -> bool {
        self.state.borrow().socket.peek() == PeekResult::Data
    }

    /// True if the client is known to have closed its side or the connection is known to be broken.
    pub fn has_disconnected(&self) -> bool {
        self.state.borrow().ended
    }

    /// Returns another handle of the socket.
    pub fn socket(&self) -> Socket {
        self.state.borrow().socket.clone()
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let state = &mut *self.state.borrow_mut();
        state.count_hyper_buffer(buf.remaining());
        if !state.read_ahead.is_empty() {
            state.take_read_ahead(buf);
            return Poll::Ready(Ok(()));
        }
        if state.ended || state.discarded > 0 {
            return Poll::Ready(Ok(()));
        }
        ready!(state.client.read_gate().poll_open(cx));
        ready!(state.poll_memory(cx));
        // The bytes are read into the stack first: `buf` is not written before bytes arrive, so that the memory of an
        // idle connection's buffer is not used.
        let mut storage = [0; MAX_READ_BYTES];
        let length = buf.remaining().min(MAX_READ_BYTES);
        let mut read = ReadBuf::new(&mut storage[..length]);
        ready!(Pin::new(&mut state.socket).poll_read(cx, &mut read))
            .inspect_err(|_| state.ended = true)?;
        let bytes = read.filled();
        if !bytes.is_empty() {
            buf.put_slice(bytes);
            state.client.on_bytes_read(bytes, Instant::now());
        } else if length > 0 {
            state.ended = true;
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.state.borrow_mut().socket).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.state.borrow_mut().socket).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.state.borrow().socket.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let state = &mut *self.state.borrow_mut();
        ready!(Pin::new(&mut state.socket).poll_flush(cx))?;
        // hyper flushes the stream only once it has nothing left to write.
        state.client.on_responses_written();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.state.borrow_mut().socket).poll_shutdown(cx)
    }
}
