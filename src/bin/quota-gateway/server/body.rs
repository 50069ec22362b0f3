//! Checks and reads the bodies of requests.

use super::request::{ClassRoute, RequestError};
use super::Server;
use crate::http::{BodyBuffer, MAX_BODY_BYTES};
use crate::lifecycle::Phase;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::Method;
use tokio::time::{timeout_at, Instant};

#[cfg(test)]
mod tests;

/// Checks a body before it is read, by its announced length and by the method of the class.
pub fn check_body(class: &ClassRoute, body: &Incoming) -> Result<(), RequestError> {
    if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
        return Err(RequestError::BodyTooLarge);
    }
    if class.method == Method::GET && !body.is_end_stream() {
        return Err(RequestError::UnexpectedBody);
    }
    Ok(())
}

impl Server {
    /// Reads the complete body. Returns `None` if the shutdown refuses requests before the body has arrived.
    pub(super) async fn read_body_unless_refusing(
        &self,
        body: Incoming,
        deadline: Instant,
    ) -> Result<Option<Bytes>, RequestError> {
        if body.size_hint().exact() == Some(0) {
            return Ok(Some(Bytes::new()));
        }
        tokio::select! {
            // The body is polled first, so that a request whose body has arrived is served rather than refused.
            biased;
            body = read_body(body, deadline) => body.map(Some),
            () = self.lifecycle.wait_for_phase(Phase::Refusing) => Ok(None),
        }
    }
}

/// Reads a body, which must be complete by the deadline.
async fn read_body(body: Incoming, deadline: Instant) -> Result<Bytes, RequestError> {
    timeout_at(deadline, collect(body))
        .await
        .unwrap_or(Err(RequestError::BodyTimeout))
}

/// Collects a body from the pieces in which it arrives. Trailers are discarded.
async fn collect<B>(mut body: B) -> Result<Bytes, RequestError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut buffer = BodyBuffer::new(MAX_BODY_BYTES);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| RequestError::IncompleteBody)?;
        if let Ok(piece) = frame.into_data() {
            buffer
                .push(&piece)
                .map_err(|_| RequestError::BodyTooLarge)?;
        }
    }
    Ok(buffer.into_bytes())
}
