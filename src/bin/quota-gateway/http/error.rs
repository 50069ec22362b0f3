//! The errors of a malformed response.

use super::body::MAX_LINE_BYTES;
use super::head::MAX_HEAD_BYTES;
use std::io::{self, ErrorKind};
use thiserror::Error;

/// The reason why a response cannot be read. No further response can be read on its connection.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum MalformedResponse {
    #[error("invalid HTTP/1 response head")]
    NotHttp,
    #[error("response head is longer than {MAX_HEAD_BYTES} bytes")]
    HeadTooLong,
    #[error("response has no head")]
    MissingHead,
    #[error("too many interim responses, or status 101, instead of a final response")]
    NoFinalResponse,
    #[error("Content-Length is not a valid number")]
    InvalidContentLength,
    #[error("response has Content-Length headers with different values")]
    ConflictingContentLengths,
    #[error("Transfer-Encoding is not a single `chunked`")]
    UnknownTransferEncoding,
    #[error("response has both Content-Length and Transfer-Encoding")]
    LengthAndTransferEncoding,
    #[error("invalid chunk size")]
    InvalidChunkSize,
    #[error("chunk size line is longer than {MAX_LINE_BYTES} bytes")]
    ChunkLineTooLong,
    #[error("chunk is not followed by a line end")]
    MissingChunkEnd,
    #[error("trailer line is longer than {MAX_LINE_BYTES} bytes")]
    TrailerTooLong,
    #[error("line after the last chunk is not a header field")]
    InvalidTrailer,
    #[error("response body was given up: the memory for the bytes of peers is used up")]
    BodyGivenUp,
    #[error("response body is too long")]
    BodyTooLong,
}

impl From<MalformedResponse> for io::Error {
    fn from(error: MalformedResponse) -> Self {
        io::Error::new(ErrorKind::InvalidData, error)
    }
}
