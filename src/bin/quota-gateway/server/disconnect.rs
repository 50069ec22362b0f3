//! A client's connection that shows its end while a request is being served, also behind bytes sent ahead.

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

/// So much of one client may be held that it sent ahead while a request is served. A client sends one request at a
/// time, so more than one whole message is never due.
const AHEAD_MOST: usize = 1 << 20;
/// And so much of all clients together.
const AHEAD_ALL: usize = 4 << 20;
/// Behind more than that nothing is read: the system is asked so often whether the client has gone. An attempt that
/// begins 0.1 s after that is one too many.
const LOOK: Duration = Duration::from_millis(40);
/// Room for one read.
const READ: usize = 2048;

/// What clients have sent ahead, in bytes, over all connections.
#[derive(Clone, Default)]
pub struct Ahead(Rc<Cell<usize>>);

impl Ahead {
    fn change(&self, change: impl Fn(usize) -> usize) {
        self.0.set(change(self.0.get()));
    }
}

/// The connection; its clones are the same one.
#[derive(Clone)]
pub struct Connection(Rc<RefCell<Inner>>);

struct Inner {
    stream: TcpStream,
    /// Read while a request was served, and not yet taken.
    ahead: BytesMut,
    all: Ahead,
    look: Pin<Box<Sleep>>,
    ended: bool,
}

impl Drop for Inner {
    fn drop(&mut self) {
        self.all.change(|all| all - self.ahead.len());
    }
}

impl Connection {
    pub fn new(stream: TcpStream, all: Ahead) -> Self {
        let (ahead, look) = (BytesMut::new(), Box::pin(sleep(LOOK)));
        Connection(Rc::new(RefCell::new(Inner { stream, ahead, all, look, ended: false })))
    }

    /// Ready once the client has closed its side or the connection broke. What it sent before is kept.
    pub fn poll_ended(&self, cx: &mut Context<'_>) -> Poll<()> {
        let Inner { stream, ahead, all, look, ended } = &mut *self.0.borrow_mut();
        while !*ended {
            if ahead.len() >= AHEAD_MOST || all.0.get() >= AHEAD_ALL {
                ready!(look.as_mut().poll(cx));
                look.set(sleep(LOOK));
                *ended = ended_unread(stream);
                continue;
            }
            let mut room = [0; READ];
            let mut buf = ReadBuf::new(&mut room);
            match ready!(Pin::new(&mut *stream).poll_read(cx, &mut buf)) {
                Ok(()) if !buf.filled().is_empty() => {
                    ahead.extend_from_slice(buf.filled());
                    all.change(|all| all + buf.filled().len());
                }
                _ => *ended = true,
            }
        }
        Poll::Ready(())
    }
}

/// Whether the system knows that the client has closed its side or that the connection broke, though bytes lie
/// before that. IncomingRequest for nothing else, it tells of both alone.
fn ended_unread(stream: &TcpStream) -> bool {
    let half_closed = PollFlags::from_bits_retain(nix::libc::POLLRDHUP);
    poll(&mut [PollFd::new(stream.as_fd(), half_closed)], PollTimeout::ZERO).is_ok_and(|found| found > 0)
}

impl AsyncRead for Connection {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let Inner { stream, ahead, all, ended, .. } = &mut *self.0.borrow_mut();
        if ahead.is_empty() && !*ended {
            let before = buf.filled().len();
            ready!(Pin::new(stream).poll_read(cx, buf))?;
            *ended = buf.filled().len() == before && buf.remaining() > 0;
            return Poll::Ready(Ok(()));
        }
        let bytes = ahead.len().min(buf.remaining());
        buf.put_slice(&ahead[..bytes]);
        ahead.advance(bytes);
        all.change(|all| all - bytes);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Connection {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0.borrow_mut().stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0.borrow_mut().stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.borrow().stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0.borrow_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0.borrow_mut().stream).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::future::poll_fn;
    use std::io::Write;
    use std::net::Shutdown;
    use tokio::time::timeout;

    /// With no room for what it sent ahead, a client that closes its side or breaks off is seen to go, and one that
    /// stays is not. On the paused clock; what a socket has sent on loopback has arrived.
    #[tokio::test(start_paused = true)]
    async fn the_end_is_seen_behind_bytes_that_nobody_reads() {
        for reset in [false, true] {
            let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
            let mut client = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
            let (stream, _) = listener.accept().unwrap();
            stream.set_nonblocking(true).unwrap();
            let all = Ahead::default();
            all.change(|_| AHEAD_ALL);
            let connection = Connection::new(TcpStream::from_std(stream).unwrap(), all.clone());
            client.write_all(b"GET /look").unwrap();
            let ended = || poll_fn(|cx| connection.poll_ended(cx));
            assert!(timeout(20 * LOOK, ended()).await.is_err(), "it has not gone");
            if reset {
                socket2::SockRef::from(&client).set_linger(Some(Duration::ZERO)).unwrap();
                drop(client);
            } else {
                client.shutdown(Shutdown::Write).unwrap();
            }
            timeout(3 * LOOK, ended()).await.expect("it has gone");
            assert_eq!(all.0.get(), AHEAD_ALL, "nothing was read");
        }
    }
}
