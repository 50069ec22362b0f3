//! The shared counter: calls to it are pipelined on a few connections that stay open.

mod client;
mod codec;
mod connection;
mod report;
mod worker;

pub use client::{CounterClient, CounterQueues, IncrementCall};
pub use report::CounterReplyHandler;

use crate::rate_limited_warning::RateLimitedWarning;
use connection::CounterContext;
use report::CallReporter;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;

/// Starts a task for each queue. They end with the client at the other end of the queues. A new address is used at
/// once.
pub fn spawn(
    queues: CounterQueues,
    addr: &watch::Receiver<SocketAddr>,
    timeout_ms: f64,
    handler: Rc<dyn CounterReplyHandler>,
) {
    let context = Rc::new(CounterContext {
        call_timeout: Duration::from_secs_f64(timeout_ms / 1000.0),
        reporter: CallReporter::new(handler),
        invalid_response_warning: RateLimitedWarning::default(),
    });
    for queue in queues {
        tokio::task::spawn_local(worker::run(addr.clone(), queue, context.clone()));
    }
}
