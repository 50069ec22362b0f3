//! The state of one client's connection: its phase, the arrival times of its bytes, its deadlines, and whether it
//! awaits a response.

mod eviction;
mod head_end_counter;

use super::read_gate::ReadGate;
use crate::memory::{ConnectionMemory, ExpectedMemory};
use head_end_counter::HeadEndCounter;
use std::cell::{Cell, RefCell};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

#[cfg(test)]
mod tests;

/// Maximum time from accepting the connection or from the last response to the first byte of the next head.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2300);
/// Maximum time from the first byte of a head to its last.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2300);
/// Maximum time from the first byte of a request to its last. For the first request of a client, the time counts from
/// accepting the connection. The protocol requires an error or a close within 3 s for a client without a complete
/// request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2800);

/// The phase of a connection with regard to the client's requests.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ClientPhase {
    /// The client has not sent a complete request head yet.
    New,
    /// The head of a request is complete, and its body is being read.
    Receiving,
    /// The request is complete and has no response yet.
    Serving,
    /// The response to the last request was made.
    Idle,
    /// Further bytes from the client are not read as a request.
    Closed,
}

/// The state of one client's connection.
pub struct Client {
    phase: Cell<ClientPhase>,
    connected_at: Instant,
    /// Time at which the connection was accepted or the last request ended.
    idle_since: Cell<Instant>,
    /// Earliest possible arrival time of the first bytes, if they may have arrived long before they are read.
    first_arrival: Cell<Option<Instant>>,
    /// Arrival time of the bytes that were read last.
    last_arrival: Cell<Instant>,
    /// Arrival time of the first byte of an incomplete head.
    head_started_at: Cell<Option<Instant>>,
    /// Counts the heads in the bytes that were read.
    head_ends: HeadEndCounter,
    /// Number of requests whose head is complete.
    requests: Cell<u64>,
    /// Number of pipelined bytes: sent before the response to the current request, and not yet read by hyper.
    pipelined_bytes: Cell<usize>,
    /// Start time of the last request's head. The time of a pipelined head counts from the end of the previous request.
    request_started_at: Cell<Instant>,
    /// True if a response was made and is not completely written to the socket.
    has_unwritten_response: Cell<bool>,
    evicted: Notify,
    /// True once the incomplete request was given up in favor of a new connection.
    is_request_given_up: Cell<bool>,
    request_given_up: Notify,
    /// Closed while the body of the client's request waits for memory.
    read_gate: ReadGate,
    /// Counts the connection, while it is open.
    memory: RefCell<Option<ConnectionMemory>>,
    /// True while bytes may have arrived that are not read for lack of memory.
    is_read_delayed: Cell<bool>,
}

impl Client {
    /// Creates the state of a client that has just been accepted. `first_arrival` is the earliest time at which its
    /// first bytes may have arrived, if the connection may have waited to be accepted.
    pub fn new(first_arrival: Option<Instant>) -> Self {
        let now = Instant::now();
        Client {
            phase: Cell::new(ClientPhase::New),
            connected_at: now,
            idle_since: Cell::new(now),
            first_arrival: Cell::new(first_arrival),
            last_arrival: Cell::new(now),
            head_started_at: Cell::new(None),
            head_ends: HeadEndCounter::default(),
            requests: Cell::new(0),
            pipelined_bytes: Cell::new(0),
            request_started_at: Cell::new(now),
            has_unwritten_response: Cell::new(false),
            evicted: Notify::new(),
            is_request_given_up: Cell::new(false),
            request_given_up: Notify::new(),
            read_gate: ReadGate::default(),
            memory: RefCell::default(),
            is_read_delayed: Cell::new(false),
        }
    }

    /// Closed while the body of the client's request waits for memory.
    pub fn read_gate(&self) -> &ReadGate {
        &self.read_gate
    }

    /// Counts the connection from now on.
    pub fn set_memory(&self, memory: ConnectionMemory) {
        self.memory.replace(Some(memory));
    }

    /// Stops counting the connection.
    pub fn release_memory(&self) {
        self.memory.take();
    }

    fn expect_memory(&self, expected: ExpectedMemory) {
        if let Some(memory) = &*self.memory.borrow() {
            memory.expect(expected);
        }
    }

    /// Records whether bytes of the client may have arrived that are not read for lack of memory.
    pub fn set_read_delayed(&self, is_delayed: bool) {
        self.is_read_delayed.set(is_delayed);
    }

    /// True while bytes of the client may have arrived that are not read for lack of memory.
    pub fn is_read_delayed(&self) -> bool {
        self.is_read_delayed.get()
    }

    /// Records that hyper received bytes of a head or a body, which were read from the socket at `read_at`.
    pub fn on_bytes_read(&self, bytes: &[u8], read_at: Instant) {
        self.head_ends.scan(bytes);
        let arrived_at = self.first_arrival.take().unwrap_or(read_at);
        self.last_arrival.set(arrived_at);
        // If the next head starts in bytes that are read together with a body, its position is unknown. Its time then
        // counts from the bytes that are read next.
        if self.phase.get() != ClientPhase::Receiving && self.head_started_at.get().is_none() {
            self.head_started_at.set(Some(arrived_at));
        }
    }

    /// Sets the number of pipelined bytes that hyper has not read.
    pub fn set_pipelined_bytes(&self, bytes: usize) {
        self.pipelined_bytes.set(bytes);
    }

    /// True if another request may have arrived, completely or in part, after the one that is being served.
    ///
    /// `head_ends` counts empty lines in bodies as well. After a body with an empty line the count stays higher than
    /// the number of requests, so the result is true for the rest of the connection. During shutdown, no response on
    /// such a connection asks to close; from `NoNewConnections` on, the connection is closed without notice once no
    /// response is due on it.
    pub fn may_have_pipelined_request(&self) -> bool {
        self.head_ends.count() > self.requests.get()
            || self.pipelined_bytes.get() > 0
            || self.has_partial_head()
    }

    /// Records that the head of a request is complete. Its last byte arrived no later than the bytes that were read
    /// last.
    pub fn on_head_completed(&self) {
        self.requests.set(self.requests.get() + 1);
        self.is_request_given_up.set(false);
        let started_at = self
            .head_started_at
            .take()
            .unwrap_or(self.last_arrival.get());
        self.request_started_at
            .set(started_at.max(self.idle_since.get()));
        if self.phase.get() == ClientPhase::New {
            self.request_started_at.set(self.connected_at);
        }
        self.phase.set(ClientPhase::Receiving);
        self.expect_memory(ExpectedMemory::Service);
    }

    /// Arrival time of the bytes that were read last.
    pub fn last_arrival(&self) -> Instant {
        self.last_arrival.get()
    }

    /// Deadline for the body of the request whose head is complete.
    pub fn request_deadline(&self) -> Instant {
        self.request_started_at.get() + REQUEST_TIMEOUT
    }

    /// Records that the request is complete. Nothing more is expected from the client before the response.
    pub fn on_request_completed(&self) {
        self.phase.set(ClientPhase::Serving);
        self.expect_memory(ExpectedMemory::Nothing);
    }

    /// Records that the response was made and is about to be written, or that the client has disconnected.
    pub fn on_request_ended(&self) {
        self.phase.set(ClientPhase::Idle);
        self.expect_memory(ExpectedMemory::WholeRequest);
        self.has_unwritten_response.set(true);
        self.idle_since.set(Instant::now());
    }

    /// Records that all responses are completely written to the socket.
    pub fn on_responses_written(&self) {
        self.has_unwritten_response.set(false);
    }

    /// Records that bytes from the client are no longer read as requests.
    pub fn on_connection_ended(&self) {
        self.phase.set(ClientPhase::Closed);
        self.expect_memory(ExpectedMemory::Nothing);
        self.head_started_at.set(None);
        self.has_unwritten_response.set(false);
    }

    /// Deadline for the next head: until its first byte has arrived the deadline for that byte, then for the last byte.
    /// `None` while a request is open and after the connection has ended.
    pub fn head_deadline(&self) -> Option<Instant> {
        let head_started_at = self.head_started_at.get();
        match self.phase.get() {
            ClientPhase::New => Some(match head_started_at {
                Some(at) => (at + HEAD_TIMEOUT).min(self.connected_at + REQUEST_TIMEOUT),
                None => self.connected_at + IDLE_TIMEOUT,
            }),
            ClientPhase::Idle => Some(match head_started_at {
                Some(at) => at.max(self.idle_since.get()) + HEAD_TIMEOUT,
                None => self.idle_since.get() + IDLE_TIMEOUT,
            }),
            ClientPhase::Receiving | ClientPhase::Serving | ClientPhase::Closed => None,
        }
    }

    /// Requests that the connection be closed to free its slot.
    pub fn evict(&self) {
        self.evicted.notify_one();
    }

    /// Waits until `evict` is called.
    pub async fn evicted(&self) {
        self.evicted.notified().await;
    }

    /// True while a complete request of the client has no response.
    pub fn is_being_served(&self) -> bool {
        self.phase.get() == ClientPhase::Serving
    }

    /// True once the head of the client's first request is complete.
    pub fn has_sent_request(&self) -> bool {
        self.phase.get() != ClientPhase::New
    }

    /// True if a part of a head has arrived.
    pub fn has_partial_head(&self) -> bool {
        self.head_started_at.get().is_some()
    }

    /// True while a request has arrived, completely or in part, or a response is not completely written. Otherwise the
    /// connection may be closed, after a check of the socket for unread bytes.
    pub fn is_busy(&self) -> bool {
        self.has_partial_head() || self.awaits_response() || self.pipelined_bytes.get() > 0
    }

    /// True while a request whose head is complete has no response or one that is not completely written.
    pub fn awaits_response(&self) -> bool {
        self.has_open_request() || self.has_unwritten_response.get()
    }

    /// True while a request whose head is complete has no response.
    pub fn has_open_request(&self) -> bool {
        matches!(
            self.phase.get(),
            ClientPhase::Receiving | ClientPhase::Serving
        )
    }
}
