//! What can be wrong with a request, and the status of its response.

use hyper::{Method, StatusCode};
use thiserror::Error;

/// What is wrong with a request. Its response is neither 429 nor 503: those promise that a retry is harmless. The
/// messages are part of the protocol.
#[derive(Debug, Error)]
pub enum RequestError {
    #[error("a Content-Length is needed, and no Transfer-Encoding")]
    TransferEncoding,
    #[error("no such class")]
    UnknownClass,
    #[error("wrong method")]
    MethodNotAllowed {
        /// The method of the class.
        allowed: Method,
    },
    #[error("X-Lane is missing or differs from the path")]
    ClassMismatch,
    #[error("X-Txn is missing or malformed")]
    InvalidTransactionId,
    #[error("Idempotency-Key is missing or malformed")]
    InvalidIdempotencyKey,
    #[error("X-Plan is missing or unknown")]
    UnknownPlan,
    #[error("X-Remaining-Ms is missing or no whole number")]
    InvalidRemainingTime,
    #[error("account is missing or malformed")]
    InvalidAccount,
    #[error("X-Quota is missing, malformed or out of range")]
    InvalidQuota,
    #[error("body over 64 KiB")]
    BodyTooLarge,
    #[error("a body where none belongs")]
    UnexpectedBody,
    #[error("X-Txn is that of an open request")]
    DuplicateTransaction,
    #[error("body not whole")]
    IncompleteBody,
    #[error("body not whole in time")]
    BodyTimeout,
}

impl RequestError {
    /// The status of the response.
    pub fn status(&self) -> StatusCode {
        match self {
            RequestError::TransferEncoding => StatusCode::LENGTH_REQUIRED,
            RequestError::UnknownClass => StatusCode::NOT_FOUND,
            RequestError::MethodNotAllowed { .. } => StatusCode::METHOD_NOT_ALLOWED,
            RequestError::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            RequestError::DuplicateTransaction => StatusCode::CONFLICT,
            RequestError::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            RequestError::ClassMismatch
            | RequestError::InvalidTransactionId
            | RequestError::InvalidIdempotencyKey
            | RequestError::UnknownPlan
            | RequestError::InvalidRemainingTime
            | RequestError::InvalidAccount
            | RequestError::InvalidQuota
            | RequestError::UnexpectedBody
            | RequestError::IncompleteBody => StatusCode::BAD_REQUEST,
        }
    }

    /// True if it is unknown where the request ends, so that nothing behind its head can be read.
    pub fn closes_connection(&self) -> bool {
        matches!(self, RequestError::TransferEncoding)
    }
}
