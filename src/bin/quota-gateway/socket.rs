//! TCP streams that tolerate temporary failures of system calls.
//!
//! This module guards against three failures:
//!
//! - A signal or a lack of memory interrupts a system call on an intact connection. If the connection counted as
//!   broken, a client would lose its response and an endpoint would count as unhealthy. After the errors listed in
//!   `transient_errors`, the call is repeated.
//! - A read or write transfers fewer bytes than requested, although the socket has more bytes or more space. The
//!   runtime's own stream regards the socket as empty or full and waits for the next readiness event. The system
//!   reports only changes of readiness, so there may be no such event, and the task hangs until its timeout. Reads and
//!   writes in this module clear the readiness only if a call would block.
//! - After a stall of the process, the runtime does not yet know which bytes the sockets have received. `peek` and
//!   `peer_has_closed` ask the system directly.

use crate::transient_errors::{is_transient_open_error, is_transient_transfer_error};
use nix::poll::{poll, PollFd, PollFlags, PollTimeout};
use socket2::SockRef;
use std::io::{self, ErrorKind, IoSlice};
use std::mem::MaybeUninit;
use std::net::{Shutdown, SocketAddr};
use std::os::fd::AsFd;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Maximum number of attempts to connect if they fail with transient errors of this machine.
const MAX_CONNECT_ATTEMPTS: u32 = 4;
/// Maximum number of transient failures of an operation that does not wait. After that, a peek returns `Empty` and a
/// write fails.
const MAX_TRANSIENT_FAILURES: u32 = 8;
/// Delay before the next attempt to connect.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(3);

/// A TCP stream. Clones are handles of the same stream, which is closed when the last handle is dropped.
#[derive(Clone)]
pub struct Socket {
    stream: Rc<TcpStream>,
}

impl Socket {
    /// Wraps a stream and sets `TCP_NODELAY`, so that the system sends small writes immediately.
    pub fn new(stream: TcpStream) -> Self {
        // The call fails only on a broken connection, which the next read or write will report.
        let _ = stream.set_nodelay(true);
        Socket {
            stream: Rc::new(stream),
        }
    }

    /// Connects to `addr`. Transient errors of this machine are retried a few times.
    ///
    /// # Errors
    ///
    /// Returns the error of the last attempt.
    pub async fn connect(addr: SocketAddr) -> io::Result<Self> {
        let mut attempts = 1;
        loop {
            match TcpStream::connect(addr).await {
                Ok(stream) => return Ok(Socket::new(stream)),
                Err(error)
                    if attempts < MAX_CONNECT_ATTEMPTS && is_transient_open_error(&error) => {}
                Err(error) => return Err(error),
            }
            attempts += 1;
            sleep(CONNECT_RETRY_DELAY).await;
        }
    }

    /// Waits until the socket may be writable.
    ///
    /// # Errors
    ///
    /// Fails if the runtime is shutting down.
    pub async fn writable(&self) -> io::Result<()> {
        self.stream.writable().await
    }

    /// Writes as many bytes as the system accepts immediately.
    ///
    /// # Errors
    ///
    /// Fails with `WouldBlock` if the system accepts no bytes now. Any other error means that the connection is broken.
    pub fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
        self.stream
            .try_write(bytes)
            .map_err(transient_as_would_block)
    }

    /// Like [`Socket::try_write`], with several slices that follow each other. Empty ones are passed over.
    ///
    /// # Errors
    ///
    /// Fails as [`Socket::try_write`] does.
    pub fn try_write_vectored(&self, slices: &[IoSlice<'_>]) -> io::Result<usize> {
        let mut filled = slices.iter().filter(|slice| !slice.is_empty());
        match (filled.next(), filled.next()) {
            (Some(only), None) => self.try_write(only),
            _ => self
                .stream
                .try_write_vectored(slices)
                .map_err(transient_as_would_block),
        }
    }

    /// Writes a short message without waiting. Intended for new connections, whose send buffer is empty.
    ///
    /// # Errors
    ///
    /// Fails if the system does not accept the whole message immediately or the connection is broken.
    pub fn write_at_once(&self, message: &[u8]) -> io::Result<()> {
        let mut written = 0;
        let mut failures = 0;
        while written < message.len() {
            match self.try_write(&message[written..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(bytes) => written += bytes,
                Err(error)
                    if error.kind() == ErrorKind::WouldBlock
                        && failures < MAX_TRANSIENT_FAILURES =>
                {
                    failures += 1;
                }
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Asks the system for unread bytes or the end of the stream, even if the runtime was not notified of them yet.
    pub fn peek(&self) -> PeekResult {
        let mut byte = [MaybeUninit::uninit()];
        for _ in 0..MAX_TRANSIENT_FAILURES {
            match SockRef::from(&*self.stream).peek(&mut byte) {
                Ok(0) => return PeekResult::EndOfStream,
                Ok(_) => return PeekResult::Data,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return PeekResult::Empty,
                Err(error) if is_transient_transfer_error(&error) => {}
                Err(_) => return PeekResult::EndOfStream,
            }
        }
        PeekResult::Empty
    }

    /// True if at least `count` bytes are unread.
    pub fn has_unread_bytes(&self, count: usize) -> bool {
        let mut buffer = vec![MaybeUninit::uninit(); count];
        SockRef::from(&*self.stream)
            .peek(&mut buffer)
            .is_ok_and(|bytes| bytes >= count)
    }

    /// True if the system knows that the peer has closed its side or that the connection is broken, even if there are
    /// unread bytes before the end.
    pub fn peer_has_closed(&self) -> bool {
        // In addition to the requested event, the system reports only errors and hang-ups.
        let closed = PollFlags::from_bits_retain(nix::libc::POLLRDHUP);
        let mut sockets = [PollFd::new(self.stream.as_fd(), closed)];
        for _ in 0..MAX_TRANSIENT_FAILURES {
            match poll(&mut sockets, PollTimeout::ZERO) {
                Ok(ready_sockets) => return ready_sockets > 0,
                Err(error) if is_transient_transfer_error(&error.into()) => {}
                Err(_) => return false,
            }
        }
        false
    }

    /// Returns a handle that does not keep the socket open.
    pub fn downgrade(&self) -> WeakSocket {
        WeakSocket {
            stream: Rc::downgrade(&self.stream),
        }
    }
}

/// A handle of a [`Socket`] that does not keep the socket open.
#[derive(Clone, Default)]
pub struct WeakSocket {
    stream: Weak<TcpStream>,
}

impl WeakSocket {
    /// Like [`Socket::peek`], but also returns `EndOfStream` if the peer has closed its side after unread bytes, or if
    /// the socket was closed by this process.
    pub fn peek_or_closed(&self) -> PeekResult {
        let Some(stream) = self.stream.upgrade() else {
            return PeekResult::EndOfStream;
        };
        let socket = Socket { stream };
        match socket.peek() {
            PeekResult::Data if socket.peer_has_closed() => PeekResult::EndOfStream,
            unread => unread,
        }
    }
}

/// The state of a socket's receive buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeekResult {
    /// All received bytes were read.
    Empty,
    /// At least one byte is unread.
    Data,
    /// The peer has closed its side, or the connection is broken.
    EndOfStream,
}

/// Maps a transient error of a write to `WouldBlock`.
fn transient_as_would_block(error: io::Error) -> io::Error {
    if is_transient_transfer_error(&error) {
        ErrorKind::WouldBlock.into()
    } else {
        error
    }
}

/// Makes a system call once the socket is ready for it, and repeats the call after transient errors. A call that would
/// block clears the readiness, so that the next `poll_ready` waits. Repeated failures with other transient errors are
/// limited by the runtime: each `poll_ready` uses a part of the task's cooperative budget and is pending once the
/// budget is used up.
fn poll_transfer<T>(
    mut poll_ready: impl FnMut() -> Poll<io::Result<()>>,
    mut call: impl FnMut() -> io::Result<T>,
) -> Poll<io::Result<T>> {
    loop {
        ready!(poll_ready())?;
        match call() {
            Err(error) if is_transient_transfer_error(&error) => {}
            result => return Poll::Ready(result),
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let stream = &self.stream;
        poll_transfer(
            || stream.poll_read_ready(cx),
            || stream.try_read_buf(buf).map(drop),
        )
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let stream = &self.stream;
        poll_transfer(|| stream.poll_write_ready(cx), || stream.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let stream = &self.stream;
        poll_transfer(
            || stream.poll_write_ready(cx),
            || stream.try_write_vectored(bufs),
        )
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.stream).shutdown(Shutdown::Write))
    }
}
