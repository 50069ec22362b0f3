//! The clients' side: reads their requests by HTTP/1.1 and writes the responses.
//!
//! - `accept`: the listener
//! - `slots`: the bound on the number of connections, and the eviction of idle clients
//! - `client`: the state of one client
//! - `connection`: one client's connection, from its first byte until it is closed
//! - `client_stream`: a stream that notices a disconnect while a request is being served
//! - `read_ahead`: what clients send ahead of a response
//! - `handler`: one request, from its head to its response
//! - `body`: which bodies are allowed, and reading them
//! - `in_progress`: the record of a request while its response is being made
//! - `health`: the paths that the gateway answers itself
//! - `request`: reads the head of a request
//! - `forward`: the request as endpoints get it
//! - `response`: the responses

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
mod request;
mod response;
mod slots;

pub use accept::Acceptor;
pub use slots::ClientSlots;

use crate::driver::Driver;
use crate::lifecycle::Lifecycle;
use client::Client;
use quota_gateway::Settings;
use read_ahead::ReadAheadBudget;
use request::RequestParser;
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::Semaphore;

/// What all connections of clients share.
pub struct Server {
    driver: Rc<Driver>,
    lifecycle: Rc<Lifecycle>,
    parser: RequestParser,
    /// The response to a client without a slot, as written on the socket.
    no_slot_response: String,
    /// One permit for each connection that may still be accepted.
    slots: Arc<Semaphore>,
    /// The open connections, by a number in the order of accepting.
    clients: RefCell<HashMap<u64, Rc<Client>>>,
    read_ahead: ReadAheadBudget,
    /// Transaction ids of requests that have no response yet.
    open_transactions: RefCell<HashSet<u64>>,
}

impl Server {
    /// A server with one slot for each permit of `slots`. The names of classes and plans are in the order of the
    /// settings.
    pub fn new(
        driver: Rc<Driver>,
        lifecycle: Rc<Lifecycle>,
        settings: &Settings,
        classes: Vec<String>,
        plans: Vec<String>,
        slots: Arc<Semaphore>,
    ) -> Rc<Self> {
        Rc::new(Server {
            driver,
            lifecycle,
            parser: RequestParser::new(settings, classes, plans),
            no_slot_response: response::no_slot(&settings.limits),
            slots,
            clients: RefCell::default(),
            read_ahead: ReadAheadBudget::default(),
            open_transactions: RefCell::default(),
        })
    }

    /// How many connections of clients are open.
    pub fn connection_count(&self) -> usize {
        self.clients.borrow().len()
    }

    /// How many clients have begun a request or have not all of their response.
    pub fn busy_count(&self) -> usize {
        self.clients
            .borrow()
            .values()
            .filter(|client| client.is_busy())
            .count()
    }

    /// The transaction ids of the requests without a response.
    pub fn unanswered_transactions(&self) -> Vec<u64> {
        self.open_transactions.borrow().iter().copied().collect()
    }
}
