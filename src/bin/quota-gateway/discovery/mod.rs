//! The client of the discovery service. It keeps the endpoint list up to date by a watch: an HTTP response that stays
//! open and reports each change.
//!
//! - `call`: one call, which requests a watch and, if necessary, the complete list
//! - `open`: calls discovery until a watch is open
//! - `watch`: reads the events of an open watch
//! - `framing`: splits the byte stream of a watch into JSON objects
//! - `policy`: timeouts and retry times of calls
//! - `schedule`: exponential backoff, and the call schedule for a service that all gateways share
//! - `updates`: decides which lists apply
//! - `list`: the JSON format of the endpoint list
//! - `handler`: the interface to the owner of the list
//! - `error`: the reasons why a call fails or a watch ends

mod call;
mod error;
mod framing;
mod handler;
pub mod list;
mod open;
mod policy;
mod schedule;
mod updates;
mod watch;

pub use handler::EndpointListHandler;
pub use policy::{WatchPolicy, PROPAGATION_LIMIT};

use crate::memory::MemoryBudget;
use crate::rate_limited_warning::RateLimitedWarning;
use call::WatchRequest;
use open::open_watch;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::watch::Receiver;
use tokio::time::{sleep, Instant};
use updates::ListUpdates;
use watch::follow_watch;

/// The warning for a failed call and for the end of a watch.
const NO_WATCH: &str = "no discovery watch is open, the last endpoint list stays in use";

/// Keeps a watch open for as long as the program runs. While discovery cannot be reached, the last list stays in use. A
/// change of the address takes effect at once. Lists that arrive count in `memory`.
pub async fn run(
    mut addr: Receiver<SocketAddr>,
    version: u64,
    policy: WatchPolicy,
    memory: Rc<MemoryBudget>,
    handler: Rc<dyn EndpointListHandler>,
) {
    let mut client = DiscoveryClient {
        policy,
        updates: Rc::new(ListUpdates::new(version, handler)),
        memory,
        warning: RateLimitedWarning::default(),
    };
    // The first call is made at once, because the protocol's propagation limit applies from the start of the process.
    loop {
        let current_addr = *addr.borrow_and_update();
        tokio::select! {
            () = client.watch_once(current_addr) => {}
            Ok(()) = addr.changed() => client.on_address_changed(),
        }
    }
}

struct DiscoveryClient {
    policy: WatchPolicy,
    updates: Rc<ListUpdates>,
    memory: Rc<MemoryBudget>,
    warning: RateLimitedWarning,
}

impl DiscoveryClient {
    /// Opens a watch, follows it until it ends, and waits before the next one.
    async fn watch_once(&mut self, addr: SocketAddr) {
        let request = WatchRequest {
            addr,
            version: self.updates.version(),
            fetch_complete_list: self.updates.is_incomplete(),
        };
        let call = |timeouts| request.send(timeouts, self.updates.clone(), self.memory.clone());
        let on_failure = |error| self.warning.warn(NO_WATCH, error);
        let watch = open_watch(&mut self.policy, call, on_failure).await;
        let opened_at = Instant::now();
        let end = follow_watch(watch, &self.updates).await;
        let delay = self
            .policy
            .on_watch_ended(opened_at.elapsed(), end.is_invalid_response());
        self.warning.warn(NO_WATCH, end);
        sleep(delay).await;
    }

    fn on_address_changed(&mut self) {
        // The versions of another discovery service may be numbered differently.
        self.updates.mark_incomplete();
        self.policy.on_address_changed();
    }
}
