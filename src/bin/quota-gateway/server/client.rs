//! The state of one client: its phase, when its bytes arrived, its deadlines, and whether a response is owed to it.

mod head_end_counter;

use head_end_counter::HeadEndCounter;
use std::cell::Cell;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

#[cfg(test)]
mod tests;

/// Time from the connection or the last response to the first byte of the next head.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2300);
/// Time from the first byte of a head to its last.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2300);
/// Time from the first byte of a request to its last; for a client's first request, from the connection. The protocol
/// has a client without a complete request get an error or a close within 3 s.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2800);

/// The phases of a connection, as the client's requests move it.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ClientPhase {
    /// It has sent no request yet.
    New,
    /// Its request is being read.
    Receiving,
    /// Its request is complete and has no response yet.
    Serving,
    /// It has its last response.
    Idle,
    /// What it sends is not read as a request any more.
    Closed,
}

/// The state of one client's connection.
pub struct Client {
    phase: Cell<ClientPhase>,
    connected_at: Instant,
    /// When it connected or got its last response.
    idle_since: Cell<Instant>,
    /// When the first bytes may have arrived, if that was long before they are read.
    first_arrival: Cell<Option<Instant>>,
    /// When the bytes that were read last arrived.
    last_arrival: Cell<Instant>,
    /// When the first byte of an incomplete head arrived.
    head_begun_at: Cell<Option<Instant>>,
    /// Ends of heads in what was read.
    head_ends: HeadEndCounter,
    /// Requests whose head is complete.
    requests: Cell<u64>,
    /// Bytes that it has sent ahead of a response and that hyper has not read.
    sent_ahead: Cell<usize>,
    /// When the head of the last request began. A head that was sent ahead begins with the response before it.
    request_begun_at: Cell<Instant>,
    /// A response was made, and not all of it is written to the socket.
    has_unwritten_response: Cell<bool>,
    evicted: Notify,
}

impl Client {
    /// A client that has just been accepted. `first_arrival` is the earliest time at which its first bytes may have
    /// arrived, if it had to wait to be accepted.
    pub fn new(first_arrival: Option<Instant>) -> Self {
        let now = Instant::now();
        Client {
            phase: Cell::new(ClientPhase::New),
            connected_at: now,
            idle_since: Cell::new(now),
            first_arrival: Cell::new(first_arrival),
            last_arrival: Cell::new(now),
            head_begun_at: Cell::new(None),
            head_ends: HeadEndCounter::default(),
            requests: Cell::new(0),
            sent_ahead: Cell::new(0),
            request_begun_at: Cell::new(now),
            has_unwritten_response: Cell::new(false),
            evicted: Notify::new(),
        }
    }

    /// hyper has got bytes that were read at this time, of a head or a body.
    pub fn bytes_read(&self, bytes: &[u8], read_at: Instant) {
        self.head_ends.scan(bytes);
        let arrived_at = self.first_arrival.take().unwrap_or(read_at);
        self.last_arrival.set(arrived_at);
        // Where the next head begins in bytes that are read together with a body is not known: it counts from the bytes
        // that are read after them.
        if self.phase.get() != ClientPhase::Receiving && self.head_begun_at.get().is_none() {
            self.head_begun_at.set(Some(arrived_at));
        }
    }

    /// Sets how many bytes it has sent ahead of a response that hyper has not read.
    pub fn set_sent_ahead(&self, bytes: usize) {
        self.sent_ahead.set(bytes);
    }

    /// True if another request may have arrived, completely or in part, behind the one that is being served.
    ///
    /// `head_ends` counts the empty lines of bodies as well. After a body with one it stays ahead of the requests, so
    /// that this is true for the rest of the connection: in the shutdown, no response on it asks to close. It is closed
    /// without notice from `NoNewConnections` on, once no response is due on it.
    pub fn may_have_sent_more(&self) -> bool {
        self.head_ends.count() > self.requests.get()
            || self.sent_ahead.get() > 0
            || self.has_begun_head()
    }

    /// The head of a request is complete. Its last byte arrived no later than the bytes that were read last.
    pub fn request_started(&self) {
        self.requests.set(self.requests.get() + 1);
        let begun_at = self.head_begun_at.take().unwrap_or(self.last_arrival.get());
        self.request_begun_at
            .set(begun_at.max(self.idle_since.get()));
        if self.phase.get() == ClientPhase::New {
            self.request_begun_at.set(self.connected_at);
        }
        self.phase.set(ClientPhase::Receiving);
    }

    /// When the bytes that were read last arrived.
    pub fn last_arrival(&self) -> Instant {
        self.last_arrival.get()
    }

    /// Deadline for the body of the request whose head is complete.
    pub fn request_deadline(&self) -> Instant {
        self.request_begun_at.get() + REQUEST_TIMEOUT
    }

    /// The request is complete, and nothing more is due from the client before the response.
    pub fn request_complete(&self) {
        self.phase.set(ClientPhase::Serving);
    }

    /// The request's response is made and about to be written, or the client has disconnected.
    pub fn request_ended(&self) {
        self.phase.set(ClientPhase::Idle);
        self.has_unwritten_response.set(true);
        self.idle_since.set(Instant::now());
    }

    /// All responses are written to the socket.
    pub fn responses_written(&self) {
        self.has_unwritten_response.set(false);
    }

    /// What it sends from now on is not read as a request.
    pub fn connection_ended(&self) {
        self.phase.set(ClientPhase::Closed);
        self.head_begun_at.set(None);
        self.has_unwritten_response.set(false);
    }

    /// Deadline for the next head: for its first byte until that has arrived, then for its last. `None` while a request
    /// is open.
    pub fn head_deadline(&self) -> Option<Instant> {
        let head_begun_at = self.head_begun_at.get();
        match self.phase.get() {
            ClientPhase::New => Some(match head_begun_at {
                Some(at) => (at + HEAD_TIMEOUT).min(self.connected_at + REQUEST_TIMEOUT),
                None => self.connected_at + IDLE_TIMEOUT,
            }),
            ClientPhase::Idle => Some(match head_begun_at {
                Some(at) => at.max(self.idle_since.get()) + HEAD_TIMEOUT,
                None => self.idle_since.get() + IDLE_TIMEOUT,
            }),
            ClientPhase::Receiving | ClientPhase::Serving | ClientPhase::Closed => None,
        }
    }

    /// Has its connection closed, for its slot.
    pub fn evict(&self) {
        self.evicted.notify_one();
    }

    /// Waits until it is evicted.
    pub async fn evicted(&self) {
        self.evicted.notified().await;
    }

    /// True while its request is complete and has no response.
    pub fn is_being_served(&self) -> bool {
        self.phase.get() == ClientPhase::Serving
    }

    /// True if it has no request open, and connected longer ago than the grace time: the first request of a new client
    /// may be on the way.
    pub fn is_evictable(&self, new_client_grace: Duration) -> bool {
        match self.phase.get() {
            ClientPhase::New => self.connected_at.elapsed() > new_client_grace,
            ClientPhase::Idle | ClientPhase::Closed => !self.has_unwritten_response.get(),
            ClientPhase::Receiving | ClientPhase::Serving => false,
        }
    }

    /// The client with the least value is evicted first: one that never sent a request, then the one longest idle.
    pub fn eviction_order(&self) -> (bool, Instant) {
        (self.has_sent_request(), self.idle_since.get())
    }

    /// True once the head of its first request is complete.
    pub fn has_sent_request(&self) -> bool {
        self.phase.get() != ClientPhase::New
    }

    /// True if a head has arrived in part.
    pub fn has_begun_head(&self) -> bool {
        self.head_begun_at.get().is_some()
    }

    /// True while it has a request, complete or begun, or a response that is not written. Otherwise its connection may
    /// be closed, once the socket has been checked for bytes that were not read.
    pub fn is_busy(&self) -> bool {
        self.has_begun_head() || self.is_owed_response() || self.sent_ahead.get() > 0
    }

    /// True while a request whose head is complete has no response, or a response that is not written.
    pub fn is_owed_response(&self) -> bool {
        self.has_open_request() || self.has_unwritten_response.get()
    }

    /// True while it has a request without a response.
    pub fn has_open_request(&self) -> bool {
        matches!(
            self.phase.get(),
            ClientPhase::Receiving | ClientPhase::Serving
        )
    }
}
