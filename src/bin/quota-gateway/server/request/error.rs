//! The errors of an invalid request and their response statuses.

use hyper::{Method, StatusCode};
use thiserror::Error;

/// The reason why a request is invalid. The status of its response is neither 429 nor 503, because those promise
/// that a retry is harmless. The message is the body of the response.
#[derive(Debug, Error)]
pub enum RequestError {
    #[error("Transfer-Encoding is not supported; a Content-Length is required")]
    TransferEncoding,
    #[error("the path does not begin with a known class")]
    UnknownClass,
    #[error("method not allowed; this class requires {allowed}")]
    MethodNotAllowed {
        /// The only method that the class allows.
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
    #[error("X-Remaining-Ms is missing, not an integer or out of range")]
    InvalidRemainingTime,
    #[error("query parameter account is missing, malformed or out of range")]
    InvalidAccount,
    #[error("X-Quota is missing, malformed or out of range")]
    InvalidQuota,
    #[error("request body is larger than 64 KiB")]
    BodyTooLarge,
    #[error("a GET request must not have a body")]
    UnexpectedBody,
    #[error("X-Txn is already used by another request")]
    DuplicateTransaction,
    #[error("request body is incomplete or malformed")]
    IncompleteBody,
    #[error("request body was not received in time")]
    BodyTimeout,
    #[error("request body was given up without progress: too many others are arriving")]
    BodyGivenUp,
    #[error("request was not received in time: too many other connections are open")]
    NoSlot,
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
            RequestError::BodyTimeout | RequestError::BodyGivenUp | RequestError::NoSlot => {
                StatusCode::REQUEST_TIMEOUT
            }
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

    /// True if the end of the request cannot be found, so that nothing after its head can be read.
    pub fn hides_end(&self) -> bool {
        matches!(
            self,
            RequestError::TransferEncoding | RequestError::BodyGivenUp | RequestError::NoSlot
        )
    }
}
