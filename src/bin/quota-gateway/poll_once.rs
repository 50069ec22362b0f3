//! Polls a future without waiting for it.

use std::future::{poll_fn, Future};
use std::pin::pin;
use std::task::Poll;

/// Polls a future once and drops it. Returns `None` if it is pending.
pub async fn poll_once<F: Future>(future: F) -> Option<F::Output> {
    let mut future = pin!(future);
    poll_fn(|cx| match future.as_mut().poll(cx) {
        Poll::Ready(output) => Poll::Ready(Some(output)),
        Poll::Pending => Poll::Ready(None),
    })
    .await
}
