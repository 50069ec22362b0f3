//! The ordinary clients: each sends a whole request and waits for its response.

use super::requests::{get_head, post_head};
use stand_ins::connection::Connection;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

/// Time from a response to the next request.
const PAUSE: Duration = Duration::from_millis(50);
/// Length of the body of a request with one.
const BODY_BYTES: usize = 200;
/// Time that a client waits for a response: the deadline of its request and the time that is allowed beside it.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(2500);
const STATUS_OK: u16 = 200;
const STATUS_REJECTED: u16 = 429;

/// The result of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// A response with this status.
    Status(u16),
    /// The connection was closed or reset without a response.
    Closed,
    /// There was no response in time.
    TimedOut,
}

/// What the gateway's process does, as far as clients are concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GatewayState {
    /// It must serve requests.
    Serving,
    /// It is down, has just been started, or is shutting down. Its requests may have any result.
    Interrupted,
}

/// The results of the requests that had to be served, and of the others.
#[derive(Default)]
pub struct OrdinaryResults {
    /// Number of requests by their result, from clients of a gateway that was serving.
    pub while_serving: BTreeMap<Outcome, u64>,
    /// Number of requests by their result, from clients of a gateway that was interrupted meanwhile.
    pub while_interrupted: BTreeMap<Outcome, u64>,
    /// Longest time to a response while the gateway was serving.
    pub longest: Duration,
}

impl OrdinaryResults {
    /// Number of requests that were not served while the gateway was serving. They may have been rejected for the load
    /// of the endpoints if `endpoints_are_loaded`.
    pub fn not_served(&self, endpoints_are_loaded: bool) -> u64 {
        count_not_served(&self.while_serving, endpoints_are_loaded)
    }
}

/// Number of requests that were neither served nor rejected where that is permitted, of those counted by their result.
pub fn count_not_served(counts: &BTreeMap<Outcome, u64>, may_be_rejected: bool) -> u64 {
    let is_permitted = |outcome: &Outcome| match outcome {
        Outcome::Status(STATUS_OK) => true,
        Outcome::Status(STATUS_REJECTED) => may_be_rejected,
        _ => false,
    };
    let not_served = counts.iter().filter(|(outcome, _)| !is_permitted(outcome));
    not_served.map(|(_, count)| count).sum()
}

/// The state that all ordinary clients share.
pub struct OrdinaryClients {
    /// Address of the gateway.
    pub gateway: SocketAddr,
    /// Time at which the clients stop.
    pub ends_at: Instant,
    /// The state of the gateway, and the number of its changes.
    state: Cell<(GatewayState, u64)>,
    /// The results so far.
    pub results: RefCell<OrdinaryResults>,
}

impl OrdinaryClients {
    /// Creates the state for a gateway that has not started yet.
    pub fn new(gateway: SocketAddr, ends_at: Instant) -> Rc<Self> {
        Rc::new(OrdinaryClients {
            gateway,
            ends_at,
            state: Cell::new((GatewayState::Interrupted, 0)),
            results: RefCell::default(),
        })
    }

    /// Records a change of the gateway's state.
    pub fn set_state(&self, state: GatewayState) {
        self.state.set((state, self.state.get().1 + 1));
    }

    /// Sends requests until the end. Half of the clients keep their connections.
    pub async fn run(self: Rc<Self>, number: usize) {
        let keeps_connection = number % 2 == 0;
        let mut connection = None;
        let mut count = number;
        while Instant::now() < self.ends_at {
            let request = if count % 3 == 0 {
                format!("{}{}", post_head(BODY_BYTES, ""), "b".repeat(BODY_BYTES))
            } else {
                get_head()
            };
            count += 1;
            self.request(&request, &mut connection).await;
            if !keeps_connection {
                connection = None;
            }
            sleep(PAUSE).await;
        }
    }

    async fn request(&self, request: &str, connection: &mut Option<Connection>) {
        let (state, change) = self.state.get();
        let started_at = Instant::now();
        let outcome = self.exchange_on_open(request, connection).await;
        let mut results = self.results.borrow_mut();
        if state == GatewayState::Serving && self.state.get().1 == change {
            results.longest = results.longest.max(started_at.elapsed());
            *results.while_serving.entry(outcome).or_default() += 1;
        } else {
            *results.while_interrupted.entry(outcome).or_default() += 1;
        }
    }

    /// Sends a request on the open connection, if there is one. A resting connection may be closed by the gateway at any
    /// time; then the request is sent on a new connection.
    async fn exchange_on_open(
        &self,
        request: &str,
        connection: &mut Option<Connection>,
    ) -> Outcome {
        let was_open = connection
            .as_ref()
            .is_some_and(|connection| !connection.is_closed_by_peer());
        if was_open {
            let outcome = self.exchange(request, connection).await;
            if outcome != Outcome::Closed {
                return outcome;
            }
        }
        *connection = None;
        self.exchange(request, connection).await
    }

    async fn exchange(&self, request: &str, connection: &mut Option<Connection>) -> Outcome {
        let taken = connection.take();
        match timeout(RESPONSE_TIMEOUT, self.try_exchange(request, taken)).await {
            Ok(Ok(response)) => {
                *connection = response.connection;
                Outcome::Status(response.status)
            }
            Ok(Err(_)) => Outcome::Closed,
            Err(_) => Outcome::TimedOut,
        }
    }

    async fn try_exchange(
        &self,
        request: &str,
        connection: Option<Connection>,
    ) -> io::Result<ReceivedResponse> {
        let mut connection = match connection {
            Some(connection) => connection,
            None => Connection::new(TcpStream::connect(self.gateway).await?),
        };
        connection.send(request.as_bytes()).await?;
        let response = connection.receive().await?;
        let response = response.ok_or(io::ErrorKind::UnexpectedEof)?;
        Ok(ReceivedResponse {
            status: response.status(),
            connection: (!response.closes_connection()).then_some(connection),
        })
    }
}

/// A response and the connection, if the gateway keeps it open.
struct ReceivedResponse {
    status: u16,
    connection: Option<Connection>,
}
