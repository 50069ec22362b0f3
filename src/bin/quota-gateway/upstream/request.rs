//! What an attempt sends, and where.

use quota_gateway::{EndpointId, Outcome};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;

/// Where an attempt goes.
#[derive(Clone, Copy)]
pub struct Target {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The address that it had when the attempt began.
    pub addr: SocketAddr,
}

/// The wait that `OutgoingRequest::prepare` asks for.
pub type Preparation<'a> = Pin<Box<dyn Future<Output = ()> + 'a>>;

/// A request about to be written. `prepare`, `refusal` and `encode` are called right before its first byte, in this
/// order, and again if that byte could not be written.
pub trait OutgoingRequest {
    /// The wait that `refusal` needs before it can decide; none if it can decide at once.
    fn prepare(&self) -> Option<Preparation<'_>> {
        None
    }
    /// The attempt's outcome, if it must not be sent after all.
    fn refusal(&self) -> Option<Outcome>;
    /// The bytes to write. They propagate the remaining time, which passes while a connection comes up.
    fn encode(&self) -> Vec<u8>;
    /// Its last byte is written.
    fn on_written(&self) {}
}
