//! Why a call to discovery failed, or a watch ended.

use std::io::{self, ErrorKind};
use thiserror::Error;
use tokio::task::JoinError;
use tokio::time::error::Elapsed;

/// The end of a call or of a watch.
#[derive(Debug, Error)]
pub enum DiscoveryError {
    /// The connection failed, or what came over it is not HTTP.
    #[error(transparent)]
    Connection(#[from] io::Error),
    #[error("timed out")]
    TimedOut(#[from] Elapsed),
    #[error("status {0}")]
    Status(u16),
    /// The call was aborted, as later ones were made.
    #[error("no response while later calls were made: {0}")]
    Superseded(#[from] JoinError),
    /// The watch ended without an error.
    #[error("closed")]
    Closed,
    #[error("a watch event that is not a JSON object")]
    NotAnObject,
    #[error("invalid list: {0}")]
    InvalidList(#[from] serde_json::Error),
    #[error("list too long")]
    ListTooLong,
    #[error("an update older than the current list")]
    StaleUpdate,
}

impl DiscoveryError {
    /// True if discovery responded with something that can't be used; another call is likely to yield the same.
    pub fn is_invalid_response(&self) -> bool {
        match self {
            DiscoveryError::Connection(error) => error.kind() == ErrorKind::InvalidData,
            DiscoveryError::NotAnObject
            | DiscoveryError::InvalidList(_)
            | DiscoveryError::ListTooLong
            | DiscoveryError::StaleUpdate => true,
            DiscoveryError::TimedOut(_)
            | DiscoveryError::Status(_)
            | DiscoveryError::Superseded(_)
            | DiscoveryError::Closed => false,
        }
    }
}
