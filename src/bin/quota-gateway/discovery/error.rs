//! The reasons why a call to discovery fails or a watch ends.

use super::list::MAX_LIST_BYTES;
use std::io::{self, ErrorKind};
use thiserror::Error;
use tokio::task::JoinError;
use tokio::time::error::Elapsed;

/// The reason why a call failed or a watch ended.
#[derive(Debug, Error)]
pub enum DiscoveryError {
    /// The connection failed, or the received bytes are not a valid HTTP response.
    #[error(transparent)]
    Connection(#[from] io::Error),
    #[error("timed out waiting for discovery")]
    TimedOut(#[from] Elapsed),
    #[error("discovery responded with status {0} instead of 200")]
    Status(u16),
    /// The call was aborted because the maximum number of later calls was in flight.
    #[error("call aborted in favor of later ones: {0}")]
    Superseded(#[from] JoinError),
    /// The response body of the watch ended without an error.
    #[error("discovery closed the watch")]
    Closed,
    #[error("watch event is not a JSON object")]
    NotAnObject,
    #[error("invalid endpoint list: {0}")]
    InvalidList(#[from] serde_json::Error),
    #[error("endpoint list is longer than {MAX_LIST_BYTES} bytes")]
    ListTooLong,
    #[error("endpoint list is followed by bytes beyond its announced length")]
    LengthContradicted,
    #[error("watch event is older than the current endpoint list")]
    StaleUpdate,
}

impl DiscoveryError {
    /// True if discovery sent a response or event that cannot be used. Another call is likely to fail in the same way.
    pub fn is_invalid_response(&self) -> bool {
        match self {
            DiscoveryError::Connection(error) => error.kind() == ErrorKind::InvalidData,
            DiscoveryError::NotAnObject
            | DiscoveryError::InvalidList(_)
            | DiscoveryError::ListTooLong
            | DiscoveryError::LengthContradicted
            | DiscoveryError::StaleUpdate => true,
            DiscoveryError::TimedOut(_)
            | DiscoveryError::Status(_)
            | DiscoveryError::Superseded(_)
            | DiscoveryError::Closed => false,
        }
    }
}
