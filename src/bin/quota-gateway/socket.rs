//! TCP streams whose system calls may fail for a moment: a call that was interrupted or lacked memory is made again, and
//! a transfer that was cut short is taken for nothing more than that.
//!
//! The runtime's own stream takes a short read for an empty socket and a short write for a full one, and waits for the
//! system to report the next change. After a call that was cut short for another reason there may be none.

use crate::transient_errors::{may_pass, may_pass_for_transfer};
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

/// Attempts to connect, if the reasons for the failures lie on this machine and may pass.
const MAX_CONNECT_ATTEMPTS: u32 = 4;
/// Looks into a socket and writes without waiting, if they fail for a reason that may pass; after that nothing is known
/// to lie there, and nothing more is written.
const MAX_TRANSIENT_FAILURES: u32 = 8;
/// Pause before the next attempt to connect.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(3);

/// A TCP stream. Clones are handles of the same one; it is closed with the last of them.
#[derive(Clone)]
pub struct Socket {
    stream: Rc<TcpStream>,
}

impl Socket {
    /// Small writes are sent at once.
    pub fn new(stream: TcpStream) -> Self {
        // It fails on a connection that is already broken, as the next read or write shows.
        let _ = stream.set_nodelay(true);
        Socket {
            stream: Rc::new(stream),
        }
    }

    /// Connects. A failure that says nothing of the peer is tried again a few times.
    ///
    /// # Errors
    ///
    /// The last failure.
    pub async fn connect(addr: SocketAddr) -> io::Result<Self> {
        let mut attempts = 1;
        loop {
            match TcpStream::connect(addr).await {
                Ok(stream) => return Ok(Socket::new(stream)),
                Err(error) if attempts < MAX_CONNECT_ATTEMPTS && may_pass(&error) => {}
                Err(error) => return Err(error),
            }
            attempts += 1;
            sleep(CONNECT_RETRY_DELAY).await;
        }
    }

    /// Waits until something can be written, perhaps.
    ///
    /// # Errors
    ///
    /// Fails if the runtime is shutting down.
    pub async fn writable(&self) -> io::Result<()> {
        self.stream.writable().await
    }

    /// Writes what the system takes now.
    ///
    /// # Errors
    ///
    /// `WouldBlock` if it takes nothing now; else the connection is broken.
    pub fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
        let written = self.stream.try_write(bytes);
        written.map_err(|error| {
            if may_pass_for_transfer(&error) {
                ErrorKind::WouldBlock.into()
            } else {
                error
            }
        })
    }

    /// Writes a short message to a socket that has room for it, without waiting.
    ///
    /// # Errors
    ///
    /// Fails if the system does not take all of it at once, or the connection is broken.
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

    /// What the system has received and nobody has read, whether or not the runtime knows of it.
    pub fn peek(&self) -> PeekResult {
        let mut byte = [MaybeUninit::uninit()];
        for _ in 0..MAX_TRANSIENT_FAILURES {
            match SockRef::from(&*self.stream).peek(&mut byte) {
                Ok(0) => return PeekResult::EndOfStream,
                Ok(_) => return PeekResult::Data,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return PeekResult::Empty,
                Err(error) if may_pass_for_transfer(&error) => {}
                Err(_) => return PeekResult::EndOfStream,
            }
        }
        PeekResult::Empty
    }

    /// True if at least this many bytes lie unread.
    pub fn has_unread_bytes(&self, count: usize) -> bool {
        let mut space = vec![MaybeUninit::uninit(); count];
        SockRef::from(&*self.stream)
            .peek(&mut space)
            .is_ok_and(|bytes| bytes >= count)
    }

    /// Whether the system knows that the peer has closed its side or that the connection broke, though unread bytes may
    /// lie before that.
    pub fn peer_has_closed(&self) -> bool {
        // Asked for no other event, the system reports these alone.
        let closed = PollFlags::from_bits_retain(nix::libc::POLLRDHUP);
        let mut sockets = [PollFd::new(self.stream.as_fd(), closed)];
        for _ in 0..MAX_TRANSIENT_FAILURES {
            match poll(&mut sockets, PollTimeout::ZERO) {
                Ok(found) => return found > 0,
                Err(error) if may_pass_for_transfer(&error.into()) => {}
                Err(_) => return false,
            }
        }
        false
    }

    /// A handle that does not keep the socket open.
    pub fn downgrade(&self) -> WeakSocket {
        WeakSocket {
            stream: Rc::downgrade(&self.stream),
        }
    }
}

/// A handle that does not keep the socket open.
#[derive(Clone, Default)]
pub struct WeakSocket {
    stream: Weak<TcpStream>,
}

impl WeakSocket {
    /// What lies unread in the socket; its end if the peer has closed its side, whatever lies before that, and once it
    /// is closed here.
    pub fn peek(&self) -> PeekResult {
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

/// What a look into a socket's receive buffer shows, without reading from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeekResult {
    /// The peer has sent nothing that was not read.
    Empty,
    /// At least one byte is unread.
    Data,
    /// The peer has closed its side, or the connection is broken.
    EndOfStream,
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read_buf(buf) {
                Err(error) if may_pass_for_transfer(&error) => {}
                result => return Poll::Ready(result.map(drop)),
            }
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match self.stream.try_write(buf) {
                Err(error) if may_pass_for_transfer(&error) => {}
                result => return Poll::Ready(result),
            }
        }
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match self.stream.try_write_vectored(bufs) {
                Err(error) if may_pass_for_transfer(&error) => {}
                result => return Poll::Ready(result),
            }
        }
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
