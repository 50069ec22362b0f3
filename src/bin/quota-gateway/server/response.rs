//! The responses that clients get.

use super::request::RequestError;
use crate::driver::FinalResponse;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, ALLOW, CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use hyper::StatusCode;
use quota_gateway::Limits;

/// `Retry-After` of a client without a slot, where the settings allow the header, and bounded by their maximum.
const NO_SLOT_RETRY_AFTER_MS: f64 = 1000.0;

/// A response with its body.
pub type Response = hyper::Response<Full<Bytes>>;

/// A response with a line of text, or none.
pub fn plain(status: StatusCode, text: impl Into<Bytes>) -> Response {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}

/// Asks the client to close the connection.
pub fn ask_to_close(response: &mut Response) {
    response
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
}

/// The response to an invalid request. If its body was not read the connection is closed, so that the body is neither
/// waited for nor taken for a request.
pub fn request_error(error: &RequestError, has_body: bool) -> Response {
    let mut response = plain(error.status(), format!("{error}\n"));
    if let RequestError::MethodNotAllowed { allowed } = error {
        if let Ok(allowed) = HeaderValue::try_from(allowed.as_str()) {
            response.headers_mut().insert(ALLOW, allowed);
        }
    }
    if has_body || error.closes_connection() {
        ask_to_close(&mut response);
    }
    response
}

/// The final response that the driver gave.
pub fn final_response(response: FinalResponse) -> Response {
    match response {
        FinalResponse::Success { content_type, body } => success(content_type, body),
        FinalResponse::Rejected { retry_after_ms } => rejected(retry_after_ms),
        FinalResponse::Failed => plain(StatusCode::BAD_GATEWAY, "failed; it may have run\n"),
        FinalResponse::ShuttingDown => plain(
            StatusCode::SERVICE_UNAVAILABLE,
            "shutting down; trying again is harmless\n",
        ),
    }
}

fn success(content_type: Option<Bytes>, body: Bytes) -> Response {
    let mut response = Response::new(Full::new(body));
    let content_type = content_type.and_then(|value| HeaderValue::from_maybe_shared(value).ok());
    if let Some(content_type) = content_type {
        response.headers_mut().insert(CONTENT_TYPE, content_type);
    }
    response
}

fn rejected(retry_after_ms: f64) -> Response {
    let mut response = plain(
        StatusCode::TOO_MANY_REQUESTS,
        "refused; trying again is harmless\n",
    );
    if retry_after_ms > 0.0 {
        if let Ok(seconds) = HeaderValue::try_from(retry_after_seconds(retry_after_ms)) {
            response.headers_mut().insert(RETRY_AFTER, seconds);
        }
    }
    response
}

/// The response to a client without a slot, as written on the socket.
pub fn no_slot(limits: &Limits) -> String {
    let retry_after_ms = NO_SLOT_RETRY_AFTER_MS.min(limits.max_retry_after_ms);
    let advice = if limits.retry_after && retry_after_ms > 0.0 {
        format!("Retry-After: {}\r\n", retry_after_seconds(retry_after_ms))
    } else {
        String::new()
    };
    unavailable(&advice)
}

/// The response to a request that is incomplete when the process ends, as written on the socket.
pub fn incomplete_at_shutdown() -> String {
    unavailable("")
}

/// A 503 as written on the socket. `headers` are complete lines, with their ends.
fn unavailable(headers: &str) -> String {
    format!("HTTP/1.1 503 Service Unavailable\r\n{headers}Connection: close\r\nContent-Length: 0\r\n\r\n")
}

/// The value of a `Retry-After` header, in seconds. The protocol allows decimals.
fn retry_after_seconds(retry_after_ms: f64) -> String {
    format!("{:.3}", retry_after_ms / 1000.0)
}
