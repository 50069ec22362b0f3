use super::*;
use hyper::body::Frame;
use std::cell::Cell;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};

/// A read buffer from which a piece was cut.
struct ReadBuffer {
    bytes: Vec<u8>,
    /// Shared by all read buffers that are still allocated.
    _allocated: Arc<()>,
}

impl AsRef<[u8]> for ReadBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// A body in pieces of one byte, each cut from a read buffer of its own.
struct BodyInPieces {
    remaining: usize,
    allocated: Arc<()>,
    /// The largest number of read buffers that were allocated when the next piece was asked for.
    max_allocated: Rc<Cell<usize>>,
}

impl Body for BodyInPieces {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let allocated = Arc::strong_count(&self.allocated) - 1;
        self.max_allocated
            .set(self.max_allocated.get().max(allocated));
        if self.remaining == 0 {
            return Poll::Ready(None);
        }
        self.remaining -= 1;
        let buffer = ReadBuffer {
            bytes: vec![b'x'; 4096],
            _allocated: self.allocated.clone(),
        };
        let piece = Bytes::from_owner(buffer).slice(..1);
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }
}

/// Guards against memory that grows with the number of pieces: a kept piece keeps its whole read buffer allocated.
#[tokio::test]
async fn no_read_buffer_of_a_piece_is_kept() {
    let max_allocated = Rc::new(Cell::new(0));
    let body = BodyInPieces {
        remaining: 1000,
        allocated: Arc::new(()),
        max_allocated: max_allocated.clone(),
    };
    assert_eq!(collect(body).await.unwrap().len(), 1000);
    assert_eq!(
        max_allocated.get(),
        0,
        "read buffers of earlier pieces are still allocated"
    );
}
