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
const MAX_READ_AHEAD: usize = 1 << 20;
/// The same for all clients together.
const MAX_READ_AHEAD_TOTAL: usize = 4 << 20;
/// Beyond that nothing is read, and the system is polled at this interval for whether the client has gone. An
/// attempt that begins 0.1 s after that is one too many.
const POLL_INTERVAL: Duration = Duration::from_millis(40);
/// The end of a client is hidden from the system, too, behind more than its buffers hold. With this much unread, which
/// is less than that, the rest is read and dropped.
const MAX_UNREAD: usize = 32 * 1024;
/// Bytes of one client that are dropped at most, to bound the work.
const MAX_DROPPED: u64 = 64 << 20;
/// Room for one read.
const READ_BUFFER_BYTES: usize = 4096;
/// Room for one read of bytes that are dropped.
const DROP_BUFFER_BYTES: usize = 16 * 1024;
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
    inner: Rc<RefCell<Inner>>,
}

/// Bytes sent ahead that came together.
struct Arrival {
    at: Instant,
    bytes: BytesMut,
}

struct Inner {
    socket: Socket,
    client: Rc<Client>,
    /// Read while a request was served, and not yet taken by hyper.
    read_ahead: VecDeque<Arrival>,
    /// Bytes of `read_ahead`.
    read_ahead_bytes: usize,
    budget: ReadAheadBudget,
    next_poll: Pin<Box<Sleep>>,
    /// Bytes that came behind `read_ahead` and were dropped. Once there are some, the requests end before them.
    dropped: u64,
    /// The client has closed its side, or the connection broke.
    ended: bool,
}

impl Drop for Inner {
    fn drop(&mut self) {
        self.budget.release(self.read_ahead_bytes);
    }
}

impl Inner {
    /// Reads what the client sends ahead, or its end.
    fn poll_read_ahead(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let mut space = [0; READ_BUFFER_BYTES];
        let mut buffer = ReadBuf::new(&mut space);
        let result = ready!(Pin::new(&mut self.socket).poll_read(cx, &mut buffer));
        let bytes = buffer.filled();
        if result.is_err() || bytes.is_empty() {
            self.ended = true;
        } else {
            self.keep(bytes);
        }
        Poll::Ready(())
    }

    fn keep(&mut self, bytes: &[u8]) {
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
    fn poll_drop(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let mut space = [0; DROP_BUFFER_BYTES];
        let mut buffer = ReadBuf::new(&mut space);
        let result = ready!(Pin::new(&mut self.socket).poll_read(cx, &mut buffer));
        let bytes = buffer.filled().len();
        self.ended = result.is_err() || bytes == 0;
        self.dropped += bytes as u64;
        Poll::Ready(())
    }

    /// Polls the system at the next interval.
    fn poll_ended_unread(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        ready!(self.next_poll.as_mut().poll(cx));
        self.next_poll.set(sleep(POLL_INTERVAL));
        self.ended = self.socket.peer_has_closed();
        Poll::Ready(())
    }

    /// Takes one more step towards the client's end.
    fn poll_towards_end(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let is_dropping = self.dropped > 0 || self.read_ahead_bytes >= MAX_READ_AHEAD;
        if is_dropping && self.dropped < MAX_DROPPED {
            return self.poll_drop(cx);
        }
        if !is_dropping && self.budget.used() < MAX_READ_AHEAD_TOTAL {
            return self.poll_read_ahead(cx);
        }
        ready!(self.poll_ended_unread(cx));
        if !self.ended && self.dropped < MAX_DROPPED && self.socket.has_unread_bytes(MAX_UNREAD) {
            return self.poll_drop(cx);
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
        let inner = Inner {
            socket,
            client,
            read_ahead: VecDeque::new(),
            read_ahead_bytes: 0,
            budget,
            next_poll: Box::pin(sleep(POLL_INTERVAL)),
            dropped: 0,
            ended: false,
        };
        ClientStream {
            inner: Rc::new(RefCell::new(inner)),
        }
    }

    /// Ready once the client has closed its side or the connection broke. What it sent before is kept, up to a bound.
    pub fn poll_client_gone(&self, cx: &mut Context<'_>) -> Poll<()> {
        let inner = &mut *self.inner.borrow_mut();
        while !inner.ended {
            ready!(inner.poll_towards_end(cx));
        }
        Poll::Ready(())
    }

    /// True if the system has bytes of the client that nobody has read, whether or not the runtime knows of them.
    pub fn has_unread_bytes(&self) -> bool {
        self.inner.borrow().socket.peek() == PeekResult::Data
    }

    /// True once the client is known to have closed its side, or the connection to be broken.
    pub fn has_ended(&self) -> bool {
        self.inner.borrow().ended
    }

    /// Another handle of its socket.
    pub fn socket(&self) -> Socket {
        self.inner.borrow().socket.clone()
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let inner = &mut *self.inner.borrow_mut();
        if !inner.read_ahead.is_empty() {
            inner.take_read_ahead(buf);
            return Poll::Ready(Ok(()));
        }
        if inner.ended || inner.dropped > 0 {
            return Poll::Ready(Ok(()));
        }
        let before = buf.filled().len();
        ready!(Pin::new(&mut inner.socket).poll_read(cx, buf))
            .inspect_err(|_| inner.ended = true)?;
        let bytes = &buf.filled()[before..];
        if !bytes.is_empty() {
            inner.client.bytes_read(bytes, Instant::now());
        } else if buf.remaining() > 0 {
            inner.ended = true;
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
        Pin::new(&mut self.inner.borrow_mut().socket).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner.borrow_mut().socket).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.borrow().socket.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let inner = &mut *self.inner.borrow_mut();
        ready!(Pin::new(&mut inner.socket).poll_flush(cx))?;
        // hyper flushes the stream only once it has nothing left to write.
        inner.client.responses_written();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner.borrow_mut().socket).poll_shutdown(cx)
    }
}
