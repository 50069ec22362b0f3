//! The body of a response to a client.

use crate::memory::{Chunk, StoredBody};
use bytes::{Buf, Bytes};
use hyper::body::{Body, Frame, SizeHint};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

/// A body that is complete in memory. Each of its chunks is counted until it is written to the client.
pub struct ResponseBody {
    chunks: VecDeque<Chunk>,
}

impl ResponseBody {
    /// Creates the body from a text of this process, which may be empty.
    pub fn from_text(text: Bytes) -> Self {
        let chunk = (!text.is_empty()).then(|| Chunk::from_text(text));
        ResponseBody {
            chunks: chunk.into_iter().collect(),
        }
    }

    /// Creates the body from that of an endpoint's response.
    pub fn from_stored(body: StoredBody) -> Self {
        ResponseBody {
            chunks: body.into_chunks().collect(),
        }
    }
}

impl Body for ResponseBody {
    type Data = Chunk;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Chunk>, Infallible>>> {
        Poll::Ready(self.chunks.pop_front().map(|chunk| Ok(Frame::data(chunk))))
    }

    fn is_end_stream(&self) -> bool {
        self.chunks.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        let bytes: usize = self.chunks.iter().map(Buf::remaining).sum();
        SizeHint::with_exact(bytes as u64)
    }
}
