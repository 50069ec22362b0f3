//! A client's stream that shows its end while a request is being served, also behind bytes sent ahead.

use super::client::Client;
use crate::socket::{PeekResult, Socket};
use bytes::BytesMut;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
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

/// Bytes that one client may have sent ahead while its request is served. A client sends one request at a time, so
/// more than one complete message is never due.
const MAX_READ_AHEAD_BYTES: usize = 1 << 20;
/// The same for all clients together.
const MAX_TOTAL_READ_AHEAD_BYTES: usize = 4 << 20;
/// Beyond that nothing is read, and the system is polled at this interval for whether the client has gone. An
/// attempt that begins 0.1 s after that is one too many.
const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(40);
/// The end of a client is hidden from the system, too, behind more than its buffers hold. With this much unread, which
/// is less than that, the rest is read and dropped.
const MAX_UNREAD_BYTES: usize = 32 * 1024;
/// Bytes of one client that are dropped at most, to bound the work.
const MAX_DISCARDED_BYTES: u64 = 64 << 20;
/// Room for one read.
const READ_BUFFER_BYTES: usize = 4096;
/// Room for one read of bytes that are dropped.
const DISCARD_BUFFER_BYTES: usize = 16 * 1024;
/// Bytes that come within this time of one another count as having come together, with the first of them.
const ARRIVAL_RESOLUTION: Duration = Duration::from_millis(5);

/// The bytes that clients have sent ahead, over all connections. Clones share one count.
#[derive(Clone, Default)]
pub struct ReadAheadBudget {
    used: Rc<Cell<usize>>,
}

impl ReadAheadBudget {
    fn used(&self) -> usize {
        self.used.get()
    }

    fn add(&self, bytes: usize) {
        self.used.set(self.used.get() + bytes);
    }

    fn release(&self, bytes: usize) {
        self.used.set(self.used.get() - bytes);
    }
}

/// The stream. Clones are handles of the same one: hyper holds one, the connection's loop the other.
#[derive(Clone)]
pub struct ClientStream {
    state: Rc<RefCell<StreamState>>,
}

/// Bytes sent ahead that came together.
struct Arrival {
    at: Instant,
    bytes: BytesMut,
}

struct StreamState {
    socket: Socket,
    client: Rc<Client>,
    /// Read while a request was served, and not yet taken by hyper.
    read_ahead: VecDeque<Arrival>,
    /// Bytes of `read_ahead`.
    read_ahead_bytes: usize,
    budget: ReadAheadBudget,
    next_poll: Pin<Box<Sleep>>,
    /// Bytes that came behind `read_ahead` and were dropped. Once there are some, the requests end before them.
    discarded: u64,
    /// The client has closed its side, or the connection broke.
    ended: bool,
}

impl Drop for StreamState {
    fn drop(&mut self) {
        self.budget.release(self.read_ahead_bytes);
    }
}

impl StreamState {
    /// Reads what the client sends ahead, or its end.
    fn poll_read_ahead(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let mut space = [0; READ_BUFFER_BYTES];
        let mut buffer = ReadBuf::new(&mut space);
        let result = ready!(Pin::new(&mut self.socket).poll_read(cx, &mut buffer));
        let bytes = buffer.filled();
        if result.is_err() || bytes.is_empty() {
            self.ended = true;
        } else {
            self.push_read_ahead(bytes);
        }
        Poll::Ready(())
    }

    fn push_read_ahead(&mut self, bytes: &[u8]) {
        let now = Instant::now();
        match self.read_ahead.back_mut() {
            Some(last) if now - last.at < ARRIVAL_RESOLUTION => last.bytes.extend_from_slice(bytes),
            _ => self.read_ahead.push_back(Arrival {
                at: now,
                bytes: BytesMut::from(bytes),
            }),
        }
        self.read_ahead_bytes += bytes.len();
        self.client.set_sent_ahead(self.read_ahead_bytes);
        self.budget.add(bytes.len());
    }

    /// Reads and drops what the client sends ahead, up to its end.
    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let mut space = [0; DISCARD_BUFFER_BYTES];
        let mut buffer = ReadBuf::new(&mut space);
        let result = ready!(Pin::new(&mut self.socket).poll_read(cx, &mut buffer));
        let bytes = buffer.filled().len();
        self.ended = result.is_err() || bytes == 0;
        self.discarded += bytes as u64;
        Poll::Ready(())
    }

    /// Polls the system at the next interval.
    fn poll_peer_closed(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        ready!(self.next_poll.as_mut().poll(cx));
        self.next_poll.set(sleep(DISCONNECT_POLL_INTERVAL));
        self.ended = self.socket.peer_has_closed();
        Poll::Ready(())
    }

    /// Takes one more step towards the client's end.
    fn poll_for_end(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let is_discarding = self.discarded > 0 || self.read_ahead_bytes >= MAX_READ_AHEAD_BYTES;
        if is_discarding && self.discarded < MAX_DISCARDED_BYTES {
            return self.poll_discard(cx);
        }
        if !is_discarding && self.budget.used() < MAX_TOTAL_READ_AHEAD_BYTES {
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

    /// Hands on bytes sent ahead that came together.
    fn take_read_ahead(&mut self, buf: &mut ReadBuf<'_>) {
        let Some(first) = self.read_ahead.front_mut() else {
            return;
        };
        let bytes = first.bytes.len().min(buf.remaining());
        let taken = first.bytes.split_to(bytes);
        buf.put_slice(&taken);
        self.client.bytes_read(&taken, first.at);
        if first.bytes.is_empty() {
            self.read_ahead.pop_front();
        }
        self.read_ahead_bytes -= bytes;
        self.client.set_sent_ahead(self.read_ahead_bytes);
        self.budget.release(bytes);
    }
}

impl ClientStream {
    /// Counts what is sent ahead towards the budget, and tells the client's record what is read.
    pub fn new(socket: Socket, client: Rc<Client>, budget: ReadAheadBudget) -> Self {
        let state = StreamState {
            socket,
            client,
            read_ahead: VecDeque::new(),
            read_ahead_bytes: 0,
            budget,
            next_poll: Box::pin(sleep(DISCONNECT_POLL_INTERVAL)),
            discarded: 0,
            ended: false,
        };
        ClientStream {
            state: Rc::new(RefCell::new(state)),
        }
    }

    /// Ready once the client has closed its side or the connection broke. What it sent before is kept, up to a bound.
    pub fn poll_disconnected(&self, cx: &mut Context<'_>) -> Poll<()> {
        let state = &mut *self.state.borrow_mut();
        while !state.ended {
            ready!(state.poll_for_end(cx));
        }
        Poll::Ready(())
    }

    /// True if the system has bytes of the client that nobody has read, whether or not the runtime knows of them.
    pub fn has_unread_bytes(&self) -> bool {
        self.state.borrow().socket.peek() == PeekResult::Data
    }

    /// True once the client is known to have closed its side, or the connection to be broken.
    pub fn has_disconnected(&self) -> bool {
        self.state.borrow().ended
    }

    /// Another handle of its socket.
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
        if !state.read_ahead.is_empty() {
            state.take_read_ahead(buf);
            return Poll::Ready(Ok(()));
        }
        if state.ended || state.discarded > 0 {
            return Poll::Ready(Ok(()));
        }
        let before = buf.filled().len();
        ready!(Pin::new(&mut state.socket).poll_read(cx, buf))
            .inspect_err(|_| state.ended = true)?;
        let bytes = &buf.filled()[before..];
        if !bytes.is_empty() {
            state.client.bytes_read(bytes, Instant::now());
        } else if buf.remaining() > 0 {
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
        state.client.responses_written();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.state.borrow_mut().socket).poll_shutdown(cx)
    }
}
