//! A client's stream that shows its end while a request is being served, also behind bytes sent ahead.

use bytes::{Buf, BytesMut};
use nix::poll::{poll, PollFd, PollFlags, PollTimeout};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::os::fd::AsFd;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{sleep, Sleep};

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
/// Room for one read.
const READ_BUFFER_BYTES: usize = 2048;

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

struct Inner {
    stream: TcpStream,
    /// Read while a request was served, and not yet taken by hyper.
    read_ahead: BytesMut,
    budget: ReadAheadBudget,
    next_poll: Pin<Box<Sleep>>,
    ended: bool,
}

impl Drop for Inner {
    fn drop(&mut self) {
        self.budget.release(self.read_ahead.len());
    }
}

impl Inner {
    fn may_read_ahead(&self) -> bool {
        self.read_ahead.len() < MAX_READ_AHEAD && self.budget.used() < MAX_READ_AHEAD_TOTAL
    }

    /// Reads what the client sends ahead, or its end.
    fn poll_read_ahead(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let mut space = [0; READ_BUFFER_BYTES];
        let mut buffer = ReadBuf::new(&mut space);
        let result = ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buffer));
        let bytes = buffer.filled();
        if result.is_err() || bytes.is_empty() {
            self.ended = true;
        } else {
            self.read_ahead.extend_from_slice(bytes);
            self.budget.add(bytes.len());
        }
        Poll::Ready(())
    }

    /// Polls the system at the next interval.
    fn poll_ended_unread(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        ready!(self.next_poll.as_mut().poll(cx));
        self.next_poll.set(sleep(POLL_INTERVAL));
        self.ended = ended_unread(&self.stream);
        Poll::Ready(())
    }
}

impl ClientStream {
    /// Counts what is sent ahead towards the budget.
    pub fn new(stream: TcpStream, budget: ReadAheadBudget) -> Self {
        let inner = Inner {
            stream,
            read_ahead: BytesMut::new(),
            budget,
            next_poll: Box::pin(sleep(POLL_INTERVAL)),
            ended: false,
        };
        ClientStream { inner: Rc::new(RefCell::new(inner)) }
    }

    /// Ready once the client has closed its side or the connection broke. What it sent before is kept.
    pub fn poll_client_gone(&self, cx: &mut Context<'_>) -> Poll<()> {
        let inner = &mut *self.inner.borrow_mut();
        while !inner.ended {
            if inner.may_read_ahead() {
                ready!(inner.poll_read_ahead(cx));
            } else {
                ready!(inner.poll_ended_unread(cx));
            }
        }
        Poll::Ready(())
    }
}

/// Whether the system knows that the client has closed its side or that the connection broke, though unread bytes
/// lie before that. Asked for no other event, it reports these alone.
fn ended_unread(stream: &TcpStream) -> bool {
    let half_closed = PollFlags::from_bits_retain(nix::libc::POLLRDHUP);
    poll(&mut [PollFd::new(stream.as_fd(), half_closed)], PollTimeout::ZERO).is_ok_and(|found| found > 0)
}

impl AsyncRead for ClientStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let inner = &mut *self.inner.borrow_mut();
        if inner.read_ahead.is_empty() && !inner.ended {
            let before = buf.filled().len();
            ready!(Pin::new(&mut inner.stream).poll_read(cx, buf))?;
            inner.ended = buf.filled().len() == before && buf.remaining() > 0;
            return Poll::Ready(Ok(()));
        }
        let bytes = inner.read_ahead.len().min(buf.remaining());
        buf.put_slice(&inner.read_ahead[..bytes]);
        inner.read_ahead.advance(bytes);
        inner.budget.release(bytes);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner.borrow_mut().stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner.borrow_mut().stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.borrow().stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner.borrow_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner.borrow_mut().stream).poll_shutdown(cx)
    }
}
