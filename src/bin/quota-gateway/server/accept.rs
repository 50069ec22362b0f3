//! The listener, and the slots that keep the program from running out of descriptors.

use super::client::Client;
use super::Server;
use crate::lifecycle::Phase;
use crate::metrics::ConnectionEnd;
use crate::rate_limited_warning::RateLimitedWarning;
use crate::socket::{PeekResult, Socket};
use crate::transient_errors::lacks_resources;
use std::future::poll_fn;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::yield_now;
use tokio::time::{sleep, timeout, Instant};

/// Pause after an error that concerns all connections, such as a lack of descriptors in the whole system.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);
/// Errors in a row that may each concern one connection only; more are taken for one that concerns all.
const MAX_ERRORS_WITHOUT_DELAY: u32 = 64;
/// A new connection keeps its slot for this long in any case: its request may be on the way.
const NEW_CLIENT_GRACE: Duration = Duration::from_millis(20);
/// A client that was evicted has gone by then.
const EVICTION_TIMEOUT: Duration = Duration::from_millis(5);

/// The listener, and since when clients may have waited in its queue.
struct AcceptQueue {
    listener: TcpListener,
    /// The queue was not empty, and stalled, from then on.
    backlog_since: Option<Instant>,
}

impl AcceptQueue {
    fn new(listener: TcpListener) -> Self {
        AcceptQueue {
            listener,
            backlog_since: None,
        }
    }

    /// The next connection.
    async fn next(&mut self) -> io::Result<Socket> {
        poll_fn(|cx| {
            let accepted = self.listener.poll_accept(cx);
            if accepted.is_pending() {
                self.backlog_since = None;
            }
            accepted.map_ok(|(stream, _)| Socket::new(stream))
        })
        .await
    }

    /// Accepting has failed: those in the queue have to wait.
    fn record_accept_failure(&mut self) {
        self.backlog_since.get_or_insert_with(Instant::now);
    }

    /// When what a connection has sent by now may have come, if it had to wait in the queue.
    fn earliest_arrival(&self, socket: &Socket) -> Option<Instant> {
        self.backlog_since
            .filter(|_| socket.peek() == PeekResult::Data)
    }
}

/// Leaves time for a lack of resources to pass. Most other errors concern the one connection that they took out of
/// the queue, and the next one may be accepted at once.
async fn delay_after_error(error: &io::Error, consecutive_errors: u32) {
    if lacks_resources(error) || consecutive_errors >= MAX_ERRORS_WITHOUT_DELAY {
        sleep(ACCEPT_RETRY_DELAY).await;
    } else {
        yield_now().await;
    }
}

impl Server {
    /// Accepts clients until the shutdown stops that, at most as many as there are slots. With all taken, the client
    /// that has been longest without a request gives up its slot: hundreds of silent ones must not lock out others.
    /// At the end those that have connected by then are still accepted, whatever errors come between: their
    /// connections are established, and closing them unseen would lose their requests.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        let warning = RateLimitedWarning::default();
        let mut phase = self.lifecycle.subscribe();
        let mut consecutive_errors = 0;
        let mut queue = AcceptQueue::new(listener);
        for number in 0.. {
            let accepted = tokio::select! {
                biased;
                accepted = queue.next() => accepted,
                _ = phase.wait_for(|phase| *phase >= Phase::NoNewConnections) => return,
            };
            let stream = match accepted {
                Ok(stream) => stream,
                Err(e) => {
                    queue.record_accept_failure();
                    consecutive_errors += 1;
                    self.driver.metrics().accept_errors.inc();
                    delay_after_error(&e, consecutive_errors).await;
                    warning.warn("accept", e);
                    continue;
                }
            };
            consecutive_errors = 0;
            self.driver.metrics().connections_accepted.inc();
            let Some(slot) = self.acquire_slot().await else {
                // A broken connection needs no response.
                let _ = stream.write_at_once(self.no_slot_response.as_bytes());
                self.driver
                    .metrics()
                    .connections_ended
                    .increment(ConnectionEnd::NoSlot);
                continue;
            };
            let client = Rc::new(Client::new(queue.earliest_arrival(&stream)));
            self.spawn_client(number, stream, client, slot);
            // Its request is read before it can be taken for an idle client.
            yield_now().await;
        }
    }

    /// Starts the task of one client. It holds the slot and ends with the connection, which ends by itself, by
    /// eviction, or in the shutdown.
    fn spawn_client(
        self: &Rc<Self>,
        number: u64,
        socket: Socket,
        client: Rc<Client>,
        slot: OwnedSemaphorePermit,
    ) {
        let server = self.clone();
        tokio::task::spawn_local(async move {
            server.clients.borrow_mut().insert(number, client.clone());
            server.serve_until_evicted(socket, &client).await;
            server.clients.borrow_mut().remove(&number);
            drop(slot);
        });
    }

    /// A slot for one more client; none if all clients have requests open or are new.
    async fn acquire_slot(&self) -> Option<OwnedSemaphorePermit> {
        loop {
            if self.slots.available_permits() == 0 && !self.evict_idle_client() {
                return None;
            }
            // The evicted client may turn out to have sent a request: then another one is evicted.
            if let Ok(slot) = timeout(EVICTION_TIMEOUT, self.slots.clone().acquire_owned()).await {
                return slot.ok();
            }
        }
    }

    /// Evicts the client that has been longest without a request, one that never sent any first. False if there is
    /// none.
    fn evict_idle_client(&self) -> bool {
        let clients = self.clients.borrow();
        let evictable = clients
            .values()
            .filter(|client| client.is_evictable(NEW_CLIENT_GRACE));
        let Some(oldest) = evictable.min_by_key(|client| client.eviction_order()) else {
            return false;
        };
        oldest.evict();
        true
    }
}
