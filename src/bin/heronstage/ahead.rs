//! A client's connection that shows its end while a request is being served, also behind bytes sent ahead.

use crate::http::BODY_MOST;
use bytes::{Buf, BytesMut};
use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// So much may be sent ahead while a request is served; behind more the end is seen only after its answer. A
/// client sends one request at a time, so no more than one whole message is ever due.
const AHEAD_MOST: usize = BODY_MOST;
/// Room for one read.
const READ: usize = 2048;

/// The connection; its clones are the same one.
#[derive(Clone)]
pub struct Connection(Rc<RefCell<Inner>>);

struct Inner {
    stream: TcpStream,
    /// Read while a request was served, and not yet taken.
    ahead: BytesMut,
    ended: bool,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        Connection(Rc::new(RefCell::new(Inner { stream, ahead: BytesMut::new(), ended: false })))
    }

    /// Ready once the client has closed its side or the connection broke. What it sent before is kept.
    pub fn poll_ended(&self, cx: &mut Context<'_>) -> Poll<()> {
        let Inner { stream, ahead, ended } = &mut *self.0.borrow_mut();
        while !*ended && ahead.len() < AHEAD_MOST {
            let mut room = [0; READ];
            let mut buf = ReadBuf::new(&mut room);
            match Pin::new(&mut *stream).poll_read(cx, &mut buf) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Ok(())) if !buf.filled().is_empty() => ahead.extend_from_slice(buf.filled()),
                Poll::Ready(_) => *ended = true,
            }
        }
        if *ended {
            return Poll::Ready(());
        }
        Poll::Pending
    }
}

impl AsyncRead for Connection {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let Inner { stream, ahead, ended } = &mut *self.0.borrow_mut();
        if ahead.is_empty() && !*ended {
            let before = buf.filled().len();
            ready!(Pin::new(stream).poll_read(cx, buf))?;
            *ended = buf.filled().len() == before && buf.remaining() > 0;
            return Poll::Ready(Ok(()));
        }
        let bytes = ahead.len().min(buf.remaining());
        buf.put_slice(&ahead[..bytes]);
        ahead.advance(bytes);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Connection {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0.borrow_mut().stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>, cx: &mut Context<'_>, bufs: &[io::IoSlice<'_>],
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
