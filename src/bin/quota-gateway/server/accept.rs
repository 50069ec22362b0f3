//! Accepts connections from clients. Each connection takes one of the slots (`slots`).
//!
//! This module guards against three failures:
//!
//! - Without free descriptors or memory, `accept` fails in a tight loop that starves the other tasks. After such an
//!   error, `accept` is retried after a delay.
//! - While `accept` fails or no slot is free, clients wait in the listener's queue and may have sent their requests. If
//!   those requests counted as having arrived when they are read, more remaining time would be propagated than their
//!   clients have left. [`AcceptQueue`] keeps the time since which a client may have waited.
//! - When the listener closes during shutdown, the system resets the connections in its queue, and requests on them are
//!   lost. The queue is emptied first.

use super::client::Client;
use super::Server;
use crate::lifecycle::Phase;
use crate::metrics::ConnectionEnd;
use crate::rate_limited_warning::RateLimitedWarning;
use crate::socket::{PeekResult, Socket};
use crate::transient_errors::is_resource_exhaustion;
use std::collections::VecDeque;
use std::future::poll_fn;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::{yield_now, JoinHandle};
use tokio::time::{sleep, Instant};

/// Maximum number of connections in the listener's queue. The system permits one more than the backlog.
const MAX_QUEUE_LENGTH: usize = LISTEN_BACKLOG as usize + 1;
/// Delay after an error that affects all connections, such as exhausted file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);
/// After this many consecutive errors, the cause is assumed to affect all connections. Before that, each error is
/// attributed to the connection that it removed from the queue.
const MAX_ERRORS_WITHOUT_DELAY: u32 = 64;

/// Maximum number of clients that wait to be accepted.
pub const LISTEN_BACKLOG: u32 = 1024;

/// The task that accepts clients. It ends in the phase `NoNewConnections`, after accepting all clients that had
/// connected before.
pub struct Acceptor {
    task: Option<JoinHandle<()>>,
}

impl Acceptor {
    /// Starts the task.
    pub fn spawn(server: Rc<Server>, listener: TcpListener) -> Self {
        Acceptor {
            task: Some(tokio::task::spawn_local(server.accept(listener))),
        }
    }

    /// Waits until the task has ended.
    pub async fn wait_until_ended(&mut self) {
        if let Some(task) = &mut self.task {
            let _ = task.await;
            self.task = None;
        }
    }
}

/// The listener's queue of connections that have not been accepted.
struct AcceptQueue {
    listener: TcpListener,
    /// Time since which clients may have waited: at the earliest that of the first accept error or lack of a slot since the
    /// queue was last empty.
    backlog_since: Option<Instant>,
    /// Times of the last accepted connections since then, oldest first. A connection in the queue arrived after the one
    /// that the queue's length before it was accepted.
    accepted_at: VecDeque<Instant>,
}

impl AcceptQueue {
    fn new(listener: TcpListener) -> Self {
        AcceptQueue {
            listener,
            backlog_since: None,
            accepted_at: VecDeque::new(),
        }
    }

    /// Accepts the next connection.
    async fn next(&mut self) -> io::Result<Socket> {
        poll_fn(|cx| {
            let accepted = self.listener.poll_accept(cx);
            if accepted.is_pending() {
                self.backlog_since = None;
                self.accepted_at = VecDeque::new();
            }
            accepted.map_ok(|(stream, _)| Socket::new(stream))
        })
        .await
        .inspect(|_| self.record_accepted())
    }

    fn record_accepted(&mut self) {
        if self.backlog_since.is_none() {
            return;
        }
        self.accepted_at.push_back(Instant::now());
        if self.accepted_at.len() > MAX_QUEUE_LENGTH {
            self.backlog_since = self.accepted_at.pop_front();
        }
    }

    /// Records that the clients in the queue have to wait, after an accept error or for a slot.
    fn record_wait(&mut self) {
        self.backlog_since.get_or_insert_with(Instant::now);
    }

    /// The earliest possible arrival time of the unread bytes on a connection that may have waited in the queue. `None`
    /// if the connection did not wait or has no unread bytes.
    fn earliest_arrival(&self, socket: &Socket) -> Option<Instant> {
        self.backlog_since
            .filter(|_| socket.peek() == PeekResult::Data)
    }
}

/// Waits after an accept error if resources are exhausted. Most other errors concern only the connection that they
/// remove from the queue, so the next one may be accepted at once.
async fn delay_after_error(error: &io::Error, consecutive_errors: u32) {
    if is_resource_exhaustion(error) || consecutive_errors >= MAX_ERRORS_WITHOUT_DELAY {
        sleep(ACCEPT_RETRY_DELAY).await;
    } else {
        yield_now().await;
    }
}

impl Server {
    /// Accepts clients until the shutdown reaches `NoNewConnections`, and rejects those without a slot. Clients that
    /// connect before that phase are still accepted, even if accepting fails in between.
    async fn accept(self: Rc<Self>, listener: TcpListener) {
        let warning = RateLimitedWarning::default();
        let mut phase = self.lifecycle.subscribe();
        let mut consecutive_errors = 0;
        let mut queue = AcceptQueue::new(listener);
        for sequence_number in 0.. {
            let accepted = tokio::select! {
                // The queue is polled first, so that the shutdown ends the loop only once the queue is empty.
                biased;
                accepted = queue.next() => accepted,
                _ = phase.wait_for(|phase| *phase >= Phase::NoNewConnections) => return,
            };
            match accepted {
                Ok(socket) => {
                    consecutive_errors = 0;
                    self.serve_or_reject(sequence_number, socket, &mut queue)
                        .await;
                }
                Err(error) => {
                    queue.record_wait();
                    consecutive_errors += 1;
                    self.driver.metrics().accept_errors.inc();
                    delay_after_error(&error, consecutive_errors).await;
                    warning.warn("accept failed", error);
                }
            }
        }
    }

    /// Serves a new connection, or rejects it if no slot is available.
    async fn serve_or_reject(
        self: &Rc<Self>,
        sequence_number: u64,
        socket: Socket,
        queue: &mut AcceptQueue,
    ) {
        let metrics = self.driver.metrics();
        metrics.connections_accepted.inc();
        if !self.has_free_slot() {
            queue.record_wait();
        }
        let Some(slot) = self.acquire_slot().await else {
            // An error means that the connection is broken, so that no response is needed.
            let _ = socket.write_at_once(self.no_slot_response.as_bytes());
            metrics.connections_ended.increment(ConnectionEnd::NoSlot);
            return;
        };
        let client = Rc::new(Client::new(queue.earliest_arrival(&socket)));
        self.spawn_client(sequence_number, socket, client, slot);
        // The client's task runs first and reads a request that has already arrived. Otherwise the next connection
        // could evict this client as idle.
        yield_now().await;
    }

    /// Starts the task of a client, which holds the slot until the connection is closed.
    fn spawn_client(
        self: &Rc<Self>,
        sequence_number: u64,
        socket: Socket,
        client: Rc<Client>,
        slot: OwnedSemaphorePermit,
    ) {
        let server = self.clone();
        tokio::task::spawn_local(async move {
            server
                .clients
                .borrow_mut()
                .insert(sequence_number, client.clone());
            client.set_memory(server.memory.add_connection());
            server.serve_until_evicted(socket, &client).await;
            client.release_memory();
            server.clients.borrow_mut().remove(&sequence_number);
            drop(slot);
        });
    }
}
