//! The client of the shared counter. Calls are pipelined on a few connections that stay open.
//!
//! - `client`: queues of calls, one for each connection
//! - `worker`: the task of one queue, which connects and reconnects
//! - `connection`: one connection, which writes requests and reads responses
//! - `pending`: the requests on a connection that have no response yet
//! - `codec`: encodes requests and decodes responses
//! - `report`: reports the result of each call to the driver

mod client;
mod codec;
mod connection;
mod pending;
mod report;
mod worker;

pub use client::{CounterClient, CounterQueues, IncrementCall};
pub use report::CounterReplyHandler;

use crate::memory::MemoryBudget;
use crate::rate_limited_warning::RateLimitedWarning;
use connection::CounterContext;
use report::CallReporter;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;

/// Starts one task for each queue. The tasks end when the [`CounterClient`] is dropped. A call without a response times
/// out after `timeout_ms`. A change of the address takes effect at once. Responses count in `memory`.
pub fn spawn(
    queues: CounterQueues,
    addr: &watch::Receiver<SocketAddr>,
    timeout_ms: f64,
    memory: Rc<MemoryBudget>,
    handler: Rc<dyn CounterReplyHandler>,
) {
    let context = Rc::new(CounterContext {
        call_timeout: Duration::from_secs_f64(timeout_ms / 1000.0),
        reporter: CallReporter::new(handler),
        memory,
        invalid_response_warning: RateLimitedWarning::default(),
    });
    for queue in queues {
        tokio::task::spawn_local(worker::run(addr.clone(), queue, context.clone()));
    }
}
