//! Classifies the bytes that follow a response on its connection.

/// The beginning of each HTTP/1 response.
const RESPONSE_START: &[u8] = b"HTTP/1.";

/// The bytes that follow a response.
#[derive(Debug, PartialEq, Eq)]
pub enum FollowingBytes {
    /// No bytes.
    Nothing,
    /// Another response.
    Response,
    /// Too few bytes to distinguish another response from other bytes.
    PartOfResponse,
    /// Bytes that do not begin a response.
    Other,
}

impl FollowingBytes {
    /// Classifies the bytes by the beginning of a response.
    pub fn classify(bytes: &[u8]) -> Self {
        if bytes.is_empty() {
            FollowingBytes::Nothing
        } else if bytes.starts_with(RESPONSE_START) {
            FollowingBytes::Response
        } else if RESPONSE_START.starts_with(bytes) {
            FollowingBytes::PartOfResponse
        } else {
            FollowingBytes::Other
        }
    }
}
