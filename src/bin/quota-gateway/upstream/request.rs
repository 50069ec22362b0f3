//! The request that an attempt sends, and its target.

use crate::memory::StoredBody;
use quota_gateway::{EndpointId, Outcome};
use std::future::Future;
use std::io::IoSlice;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;

/// One process of an endpoint. Another process may come up later at its address, or under its name.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Instance {
    /// Address at which the process listens.
    pub addr: SocketAddr,
    /// Start time of the process as listed, in Unix milliseconds; 0 if that is long past.
    pub started_ms: f64,
}

impl Instance {
    /// True if the other one is listed for the same endpoint and is another process. A start time that is earlier, or no
    /// longer listed, does not mean that.
    pub fn is_succeeded_by(&self, other: &Instance) -> bool {
        self.addr != other.addr || other.started_ms > self.started_ms
    }
}

/// The endpoint of an attempt.
#[derive(Clone, Copy)]
pub struct Target {
    pub endpoint: EndpointId,
    /// The process of the endpoint when the attempt started.
    pub instance: Instance,
}

/// The bytes of a request. The body is shared with the request, not copied for each attempt.
#[derive(Default)]
pub struct EncodedRequest {
    /// The head, up to and including the empty line that ends it.
    pub head: Vec<u8>,
    pub body: Rc<StoredBody>,
}

impl EncodedRequest {
    /// Number of bytes.
    pub fn len(&self) -> usize {
        self.head.len() + self.body.len()
    }

    /// The bytes that are left after the first `written` ones, in non-empty slices.
    pub fn remaining(&self, written: usize) -> Vec<IoSlice<'_>> {
        let mut skipped = written;
        let mut slices = Vec::new();
        for slice in std::iter::once(self.head.as_slice()).chain(self.body.slices()) {
            let rest = &slice[skipped.min(slice.len())..];
            skipped = skipped.saturating_sub(slice.len());
            if !rest.is_empty() {
                slices.push(IoSlice::new(rest));
            }
        }
        slices
    }
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
    fn encode(&self) -> EncodedRequest;
    /// Called once the last byte is written.
    fn on_written(&self) {}
}
