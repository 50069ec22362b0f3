//! What the server knows of one client: whether it has a request open, and since when it has not.

use std::cell::Cell;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Where a client stands between connecting and leaving.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// It has sent no request yet.
    New,
    /// Its request is being read.
    Receiving,
    /// Its request is complete and has no response yet.
    Serving,
    /// It has its last response.
    Idle,
}

/// What the server knows of one client's connection.
pub struct Client {
    phase: Cell<Phase>,
    /// When it connected or got its last response.
    idle_since: Cell<Instant>,
    evicted: Notify,
}

impl Client {
    /// A client that has just connected.
    pub fn new() -> Self {
        Client { phase: Cell::new(Phase::New), idle_since: Cell::new(Instant::now()), evicted: Notify::new() }
    }

    /// When it connected or got its last response.
    pub fn idle_since(&self) -> Instant {
        self.idle_since.get()
    }

    /// The head of a request has come.
    pub fn request_started(&self) {
        self.phase.set(Phase::Receiving);
    }

    /// The request is complete, and nothing more is due from the client before the response.
    pub fn request_complete(&self) {
        self.phase.set(Phase::Serving);
    }

    /// The request has its response, or the client has gone.
    pub fn request_ended(&self) {
        self.phase.set(Phase::Idle);
        self.idle_since.set(Instant::now());
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
        self.phase.get() == Phase::Serving
    }

    /// True if it has no request open, and is not so new that its first one may be on the way.
    pub fn is_evictable(&self, new_client_grace: Duration) -> bool {
        match self.phase.get() {
            Phase::New => self.idle_since.get().elapsed() > new_client_grace,
            Phase::Idle => true,
            Phase::Receiving | Phase::Serving => false,
        }
    }

    /// The least is evicted first: those that never sent a request, then the one longest idle.
    pub fn eviction_order(&self) -> (bool, Instant) {
        (self.has_sent_request(), self.idle_since.get())
    }

    /// True once the head of its first request has come.
    pub fn has_sent_request(&self) -> bool {
        self.phase.get() != Phase::New
    }

    /// True while it has a request without a response.
    pub fn has_open_request(&self) -> bool {
        matches!(self.phase.get(), Phase::Receiving | Phase::Serving)
    }
}
