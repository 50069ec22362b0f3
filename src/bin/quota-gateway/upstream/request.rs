//! The request that an attempt sends, and its target.

use quota_gateway::{EndpointId, Outcome};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;

/// The endpoint of an attempt.
#[derive(Clone, Copy)]
pub struct Target {
    pub endpoint: EndpointId,
    /// Address of the endpoint when the attempt started.
    pub addr: SocketAddr,
}

/// The future that `OutgoingRequest::prepare` returns.
pub type Preparation<'a> = Pin<Box<dyn Future<Output = ()> + 'a>>;

/// A request about to be written. `prepare`, `check_before_write` and `encode` are called right before its first byte,
/// in this order, and again if that byte could not be written.
pub trait OutgoingRequest {
    /// Returns a future that must complete before `check_before_write` is called; `None` if that can be called at once.
    fn prepare(&self) -> Option<Preparation<'_>> {
        None
    }
    /// Checks whether the request may be sent. Returns the outcome of the attempt if the request must not be sent.
    fn check_before_write(&self) -> Option<Outcome>;
    /// Returns the bytes to write. They propagate the remaining time, which decreases while a connection is
    /// established.
    fn encode(&self) -> Vec<u8>;
    /// Called once the last byte is written.
    fn on_written(&self) {}
}
