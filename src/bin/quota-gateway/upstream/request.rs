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

/// A request about to be written. `refusal` and `encode` are called right before its first byte.
pub trait OutgoingRequest {
    /// The attempt's outcome, if it must not be sent after all.
    fn refusal(&self) -> Option<Outcome>;
    /// The bytes to write. They state the remaining time, which passes while a connection comes up.
    fn encode(&self) -> Vec<u8>;
    /// Its last byte is written.
    fn on_written(&self) {}
}
