//! What can be wrong with a response.

use std::io::{self, ErrorKind};
use thiserror::Error;

/// A response that can't be read. No other response can be read behind it on its connection.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum MalformedResponse {
    #[error("not an HTTP response")]
    NotHttp,
    #[error("head too long")]
    HeadTooLong,
    #[error("no head")]
    MissingHead,
    #[error("no final response")]
    NoFinalResponse,
    #[error("bad content length")]
    InvalidContentLength,
    #[error("two content lengths")]
    ConflictingContentLengths,
    #[error("unknown transfer encoding")]
    UnknownTransferEncoding,
    #[error("both a content length and a transfer encoding")]
    LengthAndTransferEncoding,
    #[error("bad chunk")]
    InvalidChunkSize,
    #[error("chunk line too long")]
    ChunkLineTooLong,
    #[error("a chunk does not end where it should")]
    MissingChunkEnd,
    #[error("trailer too long")]
    TrailerTooLong,
    #[error("body too long")]
    BodyTooLong,
}

impl From<MalformedResponse> for io::Error {
    fn from(error: MalformedResponse) -> Self {
        io::Error::new(ErrorKind::InvalidData, error)
    }
}
