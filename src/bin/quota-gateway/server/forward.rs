//! Builds the request that is forwarded to endpoints.

use super::request::ClassRoute;
use crate::driver::ForwardedRequest;
use crate::http::header_names;
use crate::memory::StoredBody;
use hyper::header::{HeaderValue, CONTENT_LENGTH, HOST};
use hyper::{HeaderMap, Method, Uri};
use std::io::Write;
use std::rc::Rc;

/// Initial capacity of the buffer for a head.
const HEAD_BYTES: usize = 256;

/// `Content-Type` as it is written on the wire.
const CONTENT_TYPE_NAME: &str = "Content-Type";

/// Builds the request for endpoints from the head of the client's request; its body is added once it has arrived. Only
/// the headers listed here are forwarded. The result has copies, so that the client's head need not be kept.
pub fn forwarded_head(class: &ClassRoute, uri: &Uri, headers: &HeaderMap) -> ForwardedRequest {
    let mut head = Vec::with_capacity(HEAD_BYTES);
    let target = uri.path_and_query().map_or("/", |target| target.as_str());
    let method = class.method.as_str();
    // Writing to a Vec cannot fail.
    let _ = write!(head, "{method} {target} HTTP/1.1\r\n");
    let host = headers
        .get(HOST)
        .map_or(&b"localhost"[..], HeaderValue::as_bytes);
    push_header(&mut head, "Host", host);
    for name in [
        header_names::TRANSACTION_ID,
        header_names::IDEMPOTENCY_KEY,
        header_names::CLASS,
        header_names::PLAN,
        CONTENT_TYPE_NAME,
    ] {
        if let Some(value) = headers.get(name) {
            push_header(&mut head, name, value.as_bytes());
        }
    }
    ForwardedRequest {
        head,
        body: Rc::default(),
        at_most_once: class.at_most_once,
    }
}

/// Adds the complete body and its length.
pub fn add_body(class: &ClassRoute, forwarded: &mut ForwardedRequest, body: StoredBody) {
    if class.method == Method::POST || !body.is_empty() {
        push_header(
            &mut forwarded.head,
            CONTENT_LENGTH.as_str(),
            body.len().to_string().as_bytes(),
        );
    }
    forwarded.body = Rc::new(body);
}

fn push_header(head: &mut Vec<u8>, name: &str, value: &[u8]) {
    head.extend_from_slice(name.as_bytes());
    head.extend_from_slice(b": ");
    head.extend_from_slice(value);
    head.extend_from_slice(b"\r\n");
}
