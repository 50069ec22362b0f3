//! Parses response heads with httparse.

use super::body::BodyDecoder;
use super::error::MalformedResponse;
use bytes::Bytes;
use httparse::{Header, Status};

/// Maximum size of a head.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum number of headers in a head.
const MAX_HEADERS: usize = 64;

/// The parts of a response's head that the gateway uses.
#[derive(Debug)]
pub struct Head {
    /// The status code.
    pub status: u16,
    /// True if the connection may be used for another request.
    pub keep_alive: bool,
    /// True if the endpoint states that the request was never executed (`X-Turned-Away: 1`).
    pub rejected: bool,
    /// The units that the request actually used (`X-Units-Charged`), if the header is valid.
    pub units: Option<f64>,
    /// The value of `Content-Type`, unchanged.
    pub content_type: Option<Bytes>,
}

/// A complete head at the start of a buffer.
pub struct ParsedHead {
    /// The parts of the head that the gateway uses.
    pub head: Head,
    /// The decoder for the body that follows.
    pub body: BodyDecoder,
    /// Length of the head in bytes.
    pub length: usize,
}

/// The headers that determine the end of the body and whether the connection stays open.
#[derive(Default)]
struct FramingHeaders {
    content_length: Option<usize>,
    chunked: bool,
    close: bool,
}

/// Parses a head. Returns `None` while the head is incomplete.
pub fn parse_head(buffer: &[u8]) -> Result<Option<ParsedHead>, MalformedResponse> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let length = match response.parse(buffer) {
        Ok(Status::Complete(length)) => length,
        Ok(Status::Partial) => return Ok(None),
        Err(_) => return Err(MalformedResponse::NotHttp),
    };
    let mut head = Head {
        status: response.code.unwrap_or(0),
        keep_alive: response.version == Some(1),
        rejected: false,
        units: None,
        content_type: None,
    };
    let mut framing = FramingHeaders::default();
    for header in response.headers.iter() {
        read_header(header, &mut head, &mut framing)?;
    }
    let body = framing.body(head.status)?;
    // `close` takes precedence over `keep-alive`, whether both are in one header or in two.
    if framing.close || body.ends_with_connection() {
        head.keep_alive = false;
    }
    Ok(Some(ParsedHead { head, body, length }))
}

fn read_header(
    header: &Header<'_>,
    head: &mut Head,
    framing: &mut FramingHeaders,
) -> Result<(), MalformedResponse> {
    let value = std::str::from_utf8(header.value).unwrap_or("").trim();
    let is_named = |name: &str| header.name.eq_ignore_ascii_case(name);
    if is_named("content-length") {
        framing.set_content_length(value)?;
    } else if is_named("transfer-encoding") {
        framing.set_transfer_encoding(value)?;
    } else if is_named("connection") {
        read_connection_options(value, head, framing);
    } else if is_named("x-turned-away") {
        head.rejected = value == "1";
    } else if is_named("x-units-charged") {
        head.units = parse_units(value);
    } else if is_named("content-type") {
        head.content_type = Some(Bytes::copy_from_slice(header.value));
    }
    Ok(())
}

fn read_connection_options(value: &str, head: &mut Head, framing: &mut FramingHeaders) {
    for option in value.split(',').map(str::trim) {
        if option.eq_ignore_ascii_case("close") {
            framing.close = true;
        } else if option.eq_ignore_ascii_case("keep-alive") {
            head.keep_alive = true;
        }
    }
}

fn parse_units(value: &str) -> Option<f64> {
    value
        .parse()
        .ok()
        .filter(|units: &f64| units.is_finite() && *units >= 0.0)
}

impl FramingHeaders {
    fn set_content_length(&mut self, value: &str) -> Result<(), MalformedResponse> {
        // The integer parser would accept a sign.
        if !value.bytes().all(|byte| byte.is_ascii_digit()) {
            return Err(MalformedResponse::InvalidContentLength);
        }
        let length = value
            .parse()
            .map_err(|_| MalformedResponse::InvalidContentLength)?;
        if self.content_length.is_some_and(|other| other != length) {
            return Err(MalformedResponse::ConflictingContentLengths);
        }
        self.content_length = Some(length);
        Ok(())
    }

    fn set_transfer_encoding(&mut self, value: &str) -> Result<(), MalformedResponse> {
        if self.chunked || !value.eq_ignore_ascii_case("chunked") {
            return Err(MalformedResponse::UnknownTransferEncoding);
        }
        self.chunked = true;
        Ok(())
    }

    fn body(&self, status: u16) -> Result<BodyDecoder, MalformedResponse> {
        match (status, self.chunked, self.content_length) {
            (100..=199 | 204 | 304, ..) => Ok(BodyDecoder::Complete),
            // The correct one of the two is unknown. With the wrong one, the rest of the body would be read as the next
            // response.
            (_, true, Some(_)) => Err(MalformedResponse::LengthAndTransferEncoding),
            (_, true, None) => Ok(BodyDecoder::ChunkSize),
            (_, false, Some(length)) => Ok(BodyDecoder::Length(length)),
            // The close of the connection ends the body. A reset is an error, so a truncated body is not taken for a
            // complete one.
            (_, false, None) => Ok(BodyDecoder::UntilClose),
        }
    }
}
