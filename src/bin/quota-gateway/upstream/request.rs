//! What an attempt sends, and where.

use quota_gateway::{EndpointId, Outcome};
use std::net::SocketAddr;

/// Where an attempt goes.
#[derive(Clone, Copy)]
pub struct Target {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The address that it had when the attempt began.
    pub addr: SocketAddr,
}

/// A request about to be written. Whether it still may be and its bytes are asked for right before the first byte.
pub trait OutgoingRequest {
    /// Why it must not be sent after all: the attempt's outcome.
    fn refused(&self) -> Option<Outcome>;
    /// What is written. It tells the endpoint the time that remains, which passes while a connection comes up.
    fn message(&self) -> Vec<u8>;
    /// Its last byte is written.
    fn written(&self) {}
}
