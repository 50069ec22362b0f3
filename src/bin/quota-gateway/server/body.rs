//! Checks and reads the bodies of requests.

use super::request::{ClassRoute, RequestError};
use super::Server;
use crate::http::MAX_BODY_BYTES;
use crate::lifecycle::Phase;
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::Method;
use tokio::time::{timeout_at, Instant};

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
    match timeout_at(deadline, Limited::new(body, MAX_BODY_BYTES).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(RequestError::BodyTooLarge),
        Ok(Err(_)) => Err(RequestError::IncompleteBody),
        Err(_) => Err(RequestError::BodyTimeout),
    }
}
