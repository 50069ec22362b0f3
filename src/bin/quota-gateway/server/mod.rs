//! The clients' side: takes in their requests by HTTP/1.1 and writes the responses.
//!
//! - `accept`: the listener, and the slots that bound the number of connections
//! - `client`: where one client stands
//! - `connection`: one client's connection, from its first byte until it is closed
//! - `disconnect`: a stream that shows that the client has gone while its request is being served
//! - `handler`: one request, from its head to its response
//! - `request`: what a request says of itself, and what can be wrong with it
//! - `forward`: the request as endpoints get it
//! - `response`: the responses

mod accept;
mod client;
mod connection;
mod disconnect;
mod forward;
mod handler;
mod request;
mod response;

use crate::driver::Driver;
use crate::lifecycle::Lifecycle;
use client::Client;
use disconnect::ReadAheadBudget;
use quota_gateway::Settings;
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
    /// What a client gets for whom there is no slot, as written on the socket.
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
    /// A server with one slot for each permit of `slots`. The names of classes and plans stand in the order of the
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
