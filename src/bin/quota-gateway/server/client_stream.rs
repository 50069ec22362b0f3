//! A client's stream that notices a disconnect while a request is being served.
//!
//! Failure: a client sends its request and more bytes behind it, and disconnects. hyper stops reading once it has bytes
//! of the next request, so nobody sees the end of the stream, and attempts and retries go on for a client that will not
//! read the response. It shows as attempts that are written over 0.1 s after the disconnect.
//!
//! While a request is being served the connection therefore reads on by itself, in three steps:
//!
//! 1. What the client sends ahead is buffered within the bounds of `read_ahead`, for hyper to read later.
//! 2. A client that exceeds its own bound has what follows discarded; its later requests end there.
//! 3. If the budget of all clients is used up nothing is read, and the system is polled for the end. The system sees
//!    the end only once all bytes before it fit into its receive buffer, so the bytes of a client with more unread are
//!    discarded, too.

use super::client::Client;
use super::read_ahead::{ReadAheadBudget, ReadAheadBuffer};
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

/// Interval at which the system is polled for the end of a client that is not read. A disconnect has to be noticed
/// within 0.1 s, as an attempt that is written later breaks a rule.
const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(40);
/// With this much unread a client is read and its bytes are discarded. It is less than the system's receive buffer
/// holds, so that the end of the stream always fits in behind it.
const MAX_UNREAD_BYTES: usize = 32 * 1024;
/// Most bytes of one client that are discarded, to bound the work.
const MAX_DISCARDED_BYTES: u64 = 64 << 20;
/// Size of one read into the buffer.
const READ_BUFFER_BYTES: usize = 4096;
/// Size of one read of bytes that are discarded.
const DISCARD_BUFFER_BYTES: usize = 16 * 1024;

/// The stream. Clones are handles of the same one: hyper holds one, the connection's loop the other.
#[derive(Clone)]
pub struct ClientStream {
    state: Rc<RefCell<StreamState>>,
}

struct StreamState {
    socket: Socket,
    client: Rc<Client>,
    /// Read while a request was served, and not yet taken by hyper.
    read_ahead: ReadAheadBuffer,
    budget: ReadAheadBudget,
    next_poll: Pin<Box<Sleep>>,
    /// Bytes behind `read_ahead` that were discarded. Once there are any, hyper sees the end of the stream before them.
    discarded: u64,
    /// The client has closed its side, or the connection broke.
    ended: bool,
}

impl StreamState {
    /// Buffers what the client sends ahead, or notices its end.
    fn poll_read_ahead(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let mut space = [0; READ_BUFFER_BYTES];
        let mut buffer = ReadBuf::new(&mut space);
        let result = ready!(Pin::new(&mut self.socket).poll_read(cx, &mut buffer));
        let bytes = buffer.filled();
        if result.is_err() || bytes.is_empty() {
            self.ended = true;
        } else {
            self.read_ahead.push(bytes);
            self.client.set_sent_ahead(self.read_ahead.len());
        }
        Poll::Ready(())
    }

    /// Reads and discards what the client sends ahead, or notices its end.
    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let mut space = [0; DISCARD_BUFFER_BYTES];
        let mut buffer = ReadBuf::new(&mut space);
        let result = ready!(Pin::new(&mut self.socket).poll_read(cx, &mut buffer));
        let bytes = buffer.filled().len();
        self.ended = result.is_err() || bytes == 0;
        self.discarded += bytes as u64;
        Poll::Ready(())
    }

    /// Asks the system for the client's end, at the next interval.
    fn poll_peer_closed(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        ready!(self.next_poll.as_mut().poll(cx));
        self.next_poll.set(sleep(DISCONNECT_POLL_INTERVAL));
        self.ended = self.socket.peer_has_closed();
        Poll::Ready(())
    }

    /// Takes one step towards the client's end, as described at the head of this module.
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

    /// Hands on bytes sent ahead that arrived together.
    fn take_read_ahead(&mut self, buf: &mut ReadBuf<'_>) {
        if let Some(arrival) = self.read_ahead.take(buf.remaining()) {
            buf.put_slice(&arrival.bytes);
            self.client.bytes_read(&arrival.bytes, arrival.at);
            self.client.set_sent_ahead(self.read_ahead.len());
        }
    }
}

impl ClientStream {
    /// Counts what is sent ahead towards the budget, and records in `client` what is read.
    pub fn new(socket: Socket, client: Rc<Client>, budget: ReadAheadBudget) -> Self {
        let state = StreamState {
            socket,
            client,
            read_ahead: ReadAheadBuffer::new(budget.clone()),
            budget,
            next_poll: Box::pin(sleep(DISCONNECT_POLL_INTERVAL)),
            discarded: 0,
            ended: false,
        };
        ClientStream {
            state: Rc::new(RefCell::new(state)),
        }
    }

    /// Ready once the client has closed its side or the connection broke. What it sent before is kept, up to a
    /// bound.
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
