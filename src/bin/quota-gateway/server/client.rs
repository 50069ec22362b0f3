//! What the server knows of one client: whether it has a request open or has begun one, and since when it has not.

use std::cell::Cell;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

#[cfg(test)]
mod tests;

/// A client that has begun no request is disconnected this long after it connected or got its last response.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2300);
/// A client has this long for a complete head, from its first byte.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2300);
/// A client has this long for a complete request, from the first byte of its head. Its first request has to be complete
/// this long after it connected: whoever sends none that is complete is owed an error or a close within 3 s.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2800);

/// Where a client stands between connecting and leaving.
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
    /// Nothing more that it sends is taken for a request.
    Closed,
}

/// Counts the empty lines that end heads.
#[derive(Default)]
struct HeadEndCounter {
    count: Cell<u64>,
    /// Something stands in the line that has begun.
    line_has_text: Cell<bool>,
}

impl HeadEndCounter {
    fn scan(&self, bytes: &[u8]) {
        for byte in bytes {
            match byte {
                b'\n' if !self.line_has_text.get() => self.count.set(self.count.get() + 1),
                b'\n' => self.line_has_text.set(false),
                b'\r' => {}
                _ => self.line_has_text.set(true),
            }
        }
    }

    fn count(&self) -> u64 {
        self.count.get()
    }
}

/// What the server knows of one client's connection.
pub struct Client {
    phase: Cell<ClientPhase>,
    connected_at: Instant,
    /// When it connected or got its last response.
    idle_since: Cell<Instant>,
    /// The first bytes may have come at this time already, though they were read much later.
    first_arrival: Cell<Option<Instant>>,
    /// When the bytes that were read last came.
    last_arrival: Cell<Instant>,
    /// When the first byte of a head came that is not complete.
    head_begun_at: Cell<Option<Instant>>,
    /// Ends of heads in what was read, and of paragraphs in bodies, which look alike.
    head_ends: HeadEndCounter,
    /// Requests whose head has come.
    requests: Cell<u64>,
    /// Bytes that it has sent ahead of a response and that are not taken in yet.
    sent_ahead: Cell<usize>,
    /// When the head of the last request was begun, or was read where it came earlier.
    request_begun_at: Cell<Instant>,
    /// A response was made, and the system has not taken all of it.
    has_unwritten_response: Cell<bool>,
    evicted: Notify,
}

impl Client {
    /// A client that has just been accepted. What it has sent by now may have come at `first_arrival` already, if it
    /// had to wait for that.
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

    /// Bytes that the program got at this time are taken in, for a head or a body.
    pub fn bytes_read(&self, bytes: &[u8], read_at: Instant) {
        self.head_ends.scan(bytes);
        let arrived_at = self.first_arrival.take().unwrap_or(read_at);
        self.last_arrival.set(arrived_at);
        // What is read with a body may belong to the next head; that has only begun with the next bytes.
        if self.phase.get() != ClientPhase::Receiving && self.head_begun_at.get().is_none() {
            self.head_begun_at.set(Some(arrived_at));
        }
    }

    /// It has sent this much ahead of a response that is not taken in yet.
    pub fn set_sent_ahead(&self, bytes: usize) {
        self.sent_ahead.set(bytes);
    }

    /// True if another request may have come, whole or in part, behind the one that is being served.
    pub fn may_have_sent_more(&self) -> bool {
        self.head_ends.count() > self.requests.get()
            || self.sent_ahead.get() > 0
            || self.has_begun_head()
    }

    /// The head of a request has come. Its last byte came no later than the bytes that were read last.
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

    /// When the bytes that were read last came.
    pub fn last_arrival(&self) -> Instant {
        self.last_arrival.get()
    }

    /// When the request whose head has come has to be complete.
    pub fn request_deadline(&self) -> Instant {
        self.request_begun_at.get() + REQUEST_TIMEOUT
    }

    /// The request is complete, and nothing more is due from the client before the response.
    pub fn request_complete(&self) {
        self.phase.set(ClientPhase::Serving);
    }

    /// The request's response is made and about to be written, or the client has gone.
    pub fn request_ended(&self) {
        self.phase.set(ClientPhase::Idle);
        self.has_unwritten_response.set(true);
        self.idle_since.set(Instant::now());
    }

    /// The system has taken all that was written to it.
    pub fn responses_written(&self) {
        self.has_unwritten_response.set(false);
    }

    /// Nothing more that it sends is taken for a request.
    pub fn connection_ended(&self) {
        self.phase.set(ClientPhase::Closed);
        self.head_begun_at.set(None);
        self.has_unwritten_response.set(false);
    }

    /// When it has to have a complete head or be disconnected; none while it has a request open.
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

    /// Asks it to give up its slot.
    pub fn evict(&self) {
        self.evicted.notify_one();
    }

    /// Waits until it is asked to give up its slot.
    pub async fn evicted(&self) {
        self.evicted.notified().await;
    }

    /// True while nothing more is due from it before its response.
    pub fn is_being_served(&self) -> bool {
        self.phase.get() == ClientPhase::Serving
    }

    /// True if it has no request open, and is not so new that its first one may be on the way.
    pub fn is_evictable(&self, new_client_grace: Duration) -> bool {
        match self.phase.get() {
            ClientPhase::New => self.connected_at.elapsed() > new_client_grace,
            ClientPhase::Idle | ClientPhase::Closed => !self.has_unwritten_response.get(),
            ClientPhase::Receiving | ClientPhase::Serving => false,
        }
    }

    /// The least is evicted first: those that never sent a request, then the one longest idle.
    pub fn eviction_order(&self) -> (bool, Instant) {
        (self.has_sent_request(), self.idle_since.get())
    }

    /// True once the head of its first request has come.
    pub fn has_sent_request(&self) -> bool {
        self.phase.get() != ClientPhase::New
    }

    /// True if a part of a head has come and the rest has not.
    pub fn has_begun_head(&self) -> bool {
        self.head_begun_at.get().is_some()
    }

    /// True while something is owed to it: it has begun a request, or a response to one is not all written. Closing its
    /// connection loses nothing otherwise, but for what the system has and nobody has read.
    pub fn is_busy(&self) -> bool {
        self.has_begun_head() || self.is_owed_response() || self.sent_ahead.get() > 0
    }

    /// True while a request of which at least the head has come has no response, or not all of that is written.
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
