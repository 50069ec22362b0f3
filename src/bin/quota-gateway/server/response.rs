//! Builds the responses to clients.

use super::request::RequestError;
use super::response_body::ResponseBody;
use crate::driver::FinalResponse;
use crate::memory::StoredBody;
use bytes::Bytes;
use hyper::header::{HeaderValue, ALLOW, CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use hyper::StatusCode;
use quota_gateway::Limits;

/// `Retry-After` in the response to a client for which no slot is available. The header is sent only if the settings
/// enable it, and their maximum applies.
const NO_SLOT_RETRY_AFTER_MS: f64 = 1000.0;

/// A response whose body is complete in memory.
pub type Response = hyper::Response<ResponseBody>;

/// Builds a response with a text body, which may be empty.
pub fn plain(status: StatusCode, text: impl Into<Bytes>) -> Response {
    let mut response = Response::new(ResponseBody::from_text(text.into()));
    *response.status_mut() = status;
    response
}

/// Adds `Connection: close` to a response.
pub fn ask_to_close(response: &mut Response) {
    response
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
}

/// Builds the response to an invalid request.
pub fn request_error(error: &RequestError) -> Response {
    let mut response = plain(error.status(), format!("{error}\n"));
    if let RequestError::MethodNotAllowed { allowed } = error {
        if let Ok(allowed) = HeaderValue::try_from(allowed.as_str()) {
            response.headers_mut().insert(ALLOW, allowed);
        }
    }
    response
}

/// Builds the response for a final response of the driver.
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

fn success(content_type: Option<Bytes>, body: StoredBody) -> Response {
    let mut response = Response::new(ResponseBody::from_stored(body));
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

/// Serializes the response to a client for which no slot is available.
pub fn no_slot(limits: &Limits) -> String {
    let retry_after_ms = NO_SLOT_RETRY_AFTER_MS.min(limits.max_retry_after_ms);
    let headers = if limits.retry_after && retry_after_ms > 0.0 {
        format!("Retry-After: {}\r\n", retry_after_seconds(retry_after_ms))
    } else {
        String::new()
    };
    service_unavailable(&headers)
}

/// Serializes the response to a request that is incomplete when the shutdown refuses requests.
pub fn incomplete_at_shutdown() -> String {
    service_unavailable("")
}

/// Serializes a response with status 503. `headers` consists of complete header lines, including their line ends.
fn service_unavailable(headers: &str) -> String {
    format!("HTTP/1.1 503 Service Unavailable\r\n{headers}Connection: close\r\nContent-Length: 0\r\n\r\n")
}

/// Formats the value of a `Retry-After` header, in seconds. The protocol allows decimals.
fn retry_after_seconds(retry_after_ms: f64) -> String {
    format!("{:.3}", retry_after_ms / 1000.0)
}
