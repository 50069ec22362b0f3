//! The HTTP/1.1 server for clients: reads their requests and writes the responses.
//!
//! - `accept`: accepts connections
//! - `slots`: limits the number of connections and evicts idle clients
//! - `client`: the state of one client's connection
//! - `connection`: serves one client's connection, from the first byte to the close
//! - `client_stream`: a stream that detects a disconnect while a request is being served
//! - `read_ahead`: buffers pipelined bytes
//! - `read_gate`: stops reading from a client while the body of its request waits for memory
//! - `handler`: handles one request, from its complete head to its response
//! - `body`: checks and reads bodies
//! - `in_progress`: the state of a request until its response is made
//! - `transactions`: the ids of requests that must not be forwarded again
//! - `health`: the health checks and the metrics of the gateway itself
//! - `request`: parses the head of a request
//! - `forward`: builds the request that is forwarded to endpoints
//! - `response`: builds the responses to clients
//! - `response_body`: the body of a response, which is counted until it is written

mod accept;
mod body;
mod client;
mod client_stream;
mod connection;
mod forward;
mod handler;
mod health;
mod in_progress;
mod read_ahead;
mod read_gate;
mod request;
mod response;
mod response_body;
mod slots;
mod transactions;

pub use accept::{Acceptor, LISTEN_BACKLOG};
pub use slots::ClientSlots;

use crate::driver::Driver;
use crate::lifecycle::Lifecycle;
use crate::memory::MemoryBudget;
use crate::rate_limited_warning::RateLimitedWarning;
use client::Client;
use quota_gateway::Settings;
use read_ahead::ReadAheadBudget;
use request::RequestParser;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::Semaphore;
use transactions::Transactions;

/// The state that all client connections share.
pub struct Server {
    driver: Rc<Driver>,
    lifecycle: Rc<Lifecycle>,
    parser: RequestParser,
    /// The serialized response to a client for which no slot is available.
    no_slot_response: String,
    /// One permit for each further connection that may be served.
    slots: Arc<Semaphore>,
    /// Warns of requests that are given up for slots.
    slot_warning: RateLimitedWarning,
    /// The open connections, by their sequence number in the order of accepting.
    clients: RefCell<HashMap<u64, Rc<Client>>>,
    memory: Rc<MemoryBudget>,
    read_ahead: ReadAheadBudget,
    transactions: RefCell<Transactions>,
}

impl Server {
    /// Creates a server with one slot for each permit of `slots`. What clients send counts in `memory`.
    /// `classes` and `plans` are the names of the classes and plans of `settings`, in the same order.
    pub fn new(
        driver: Rc<Driver>,
        lifecycle: Rc<Lifecycle>,
        settings: &Settings,
        classes: Vec<String>,
        plans: Vec<String>,
        slots: Arc<Semaphore>,
        memory: Rc<MemoryBudget>,
    ) -> Rc<Self> {
        Rc::new(Server {
            driver,
            lifecycle,
            parser: RequestParser::new(settings, classes, plans),
            no_slot_response: response::no_slot(&settings.limits),
            slots,
            slot_warning: RateLimitedWarning::default(),
            clients: RefCell::default(),
            read_ahead: ReadAheadBudget::new(&memory),
            memory,
            transactions: RefCell::default(),
        })
    }

    /// Number of open client connections.
    pub fn connection_count(&self) -> usize {
        self.clients.borrow().len()
    }

    /// Number of clients with a request that has arrived, completely or in part, or a response that is not completely
    /// written.
    pub fn busy_count(&self) -> usize {
        self.clients
            .borrow()
            .values()
            .filter(|client| client.is_busy())
            .count()
    }

    /// The transaction ids of all requests without a response.
    pub fn unanswered_transactions(&self) -> Vec<u64> {
        self.transactions.borrow().open()
    }
}
