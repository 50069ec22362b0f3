//! The steady load: clients that make one request after the other. Some of them disconnect early, send slowly or
//! pipeline requests.

use super::context::ClientContext;
use super::outcome::{receive, Close, Outcome};
use super::request::{Request, RequestSource};
use crate::gateway_directory::LOAD_BALANCER_DELAY;
use rand::seq::IndexedRandom;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use stand_ins::connection::Connection;
use stand_ins::message::Message;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

/// Pause of a client between two requests.
const PAUSE_MS: std::ops::Range<u64> = 5..200;
/// Pause between the two pieces of a request that is sent in two pieces.
const PIECE_PAUSE_MS: std::ops::Range<u64> = 1..800;
/// A client that disconnects early does so this long after its request.
const DISCONNECT_DELAY_MS: std::ops::Range<u64> = 0..60;
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Upper bound of the bytes that a client sends after its request before it disconnects.
const MAX_EXTRA_BYTES: usize = 4 << 20;

/// A connection to a gateway.
struct GatewayConnection {
    http: Connection,
    gateway: usize,
    generation: u32,
    opened_at: Instant,
    is_reused: bool,
}

/// The way in which a request is sent.
#[derive(Clone, Copy, PartialEq, Eq)]
enum SendPattern {
    /// The complete request without a pause.
    Plain,
    /// In two pieces, with a pause.
    InTwoPieces,
    /// The client disconnects before the response, by an orderly close or by a reset.
    DisconnectsEarly {
        resets: bool,
        sends_extra_bytes: bool,
    },
    /// Another request follows on the same connection before the response.
    Pipelined,
}

/// One client of the steady load.
pub struct Client {
    context: ClientContext,
    early_disconnect_percent: u32,
    requests: RequestSource,
    rng: ChaCha8Rng,
    /// The connection that is kept alive between two requests.
    idle_connection: Option<GatewayConnection>,
}

impl Client {
    /// Creates the client `number`, which disconnects before the response to `early_disconnect_percent` of its
    /// requests.
    pub fn new(context: ClientContext, number: u64, early_disconnect_percent: u32) -> Self {
        let rng = crate::seeded_rng(context.settings.seed, "client", number);
        let requests = RequestSource::new(context.clone(), number);
        Client {
            context,
            early_disconnect_percent,
            requests,
            rng,
            idle_connection: None,
        }
    }

    /// Makes requests until the load ends.
    pub async fn run(mut self) {
        while !self.context.settings.has_load_ended() {
            sleep(Duration::from_millis(self.rng.random_range(PAUSE_MS))).await;
            let request = self.requests.next();
            match self.draw_pattern() {
                SendPattern::DisconnectsEarly {
                    resets,
                    sends_extra_bytes,
                } => {
                    self.disconnect_early(&request, resets, sends_extra_bytes)
                        .await;
                }
                SendPattern::Pipelined => self.make_pipelined_requests(&request).await,
                pattern => {
                    self.make_request(&request, pattern == SendPattern::InTwoPieces)
                        .await;
                }
            }
        }
    }

    fn draw_pattern(&mut self) -> SendPattern {
        if self.rng.random_range(0..100) < self.early_disconnect_percent {
            return SendPattern::DisconnectsEarly {
                resets: self.rng.random(),
                sends_extra_bytes: self.rng.random(),
            };
        }
        match self.rng.random_range(0..100) {
            0..4 => SendPattern::InTwoPieces,
            4..8 => SendPattern::Pipelined,
            _ => SendPattern::Plain,
        }
    }

    /// Returns the idle connection, or opens one to a random gateway. `None` if no connection can be opened.
    async fn connect(&mut self) -> Option<GatewayConnection> {
        if let Some(connection) = self.idle_connection.take() {
            return Some(connection);
        }
        let admitted = self.context.directory.admitted();
        let (gateway, state) = *admitted.choose(&mut self.rng)?;
        let connecting = TcpStream::connect(state.address);
        let stream = timeout(CONNECT_TIMEOUT, connecting).await.ok()?.ok()?;
        Some(GatewayConnection {
            http: Connection::new(stream),
            gateway,
            generation: state.generation,
            opened_at: Instant::now(),
            is_reused: false,
        })
    }

    /// Makes a request and waits for its outcome. A request that crosses the close of a reused connection is sent again
    /// once.
    async fn make_request(&mut self, request: &Request, in_two_pieces: bool) {
        for _ in 0..2 {
            let Some(mut connection) = self.connect().await else {
                return;
            };
            // A failure is ignored: a response may have arrived before it.
            let _ = self.send(&mut connection, request, in_two_pieces).await;
            match receive(&self.context, &mut connection.http, request).await {
                Outcome::Response(response) => return self.keep_alive(connection, &response),
                Outcome::TimedOut => return self.check_timed_out(&connection, request),
                Outcome::Closed(Close::Unread)
                    if connection.is_reused && !self.was_forwarded(request) =>
                {
                    let observations = &self.context.observations;
                    observations.increment("requests closed unread on a reused connection");
                }
                Outcome::Closed(close) => return self.check_closed(&connection, request, close),
            }
        }
    }

    /// Sends a request. Returns false if the connection broke.
    async fn send(
        &mut self,
        connection: &mut GatewayConnection,
        request: &Request,
        in_two_pieces: bool,
    ) -> bool {
        let mut rest = request.text.as_bytes();
        if in_two_pieces {
            let (first, last) = rest.split_at(self.rng.random_range(1..rest.len()));
            if connection.http.send(first).await.is_err() {
                return false;
            }
            sleep(Duration::from_millis(self.rng.random_range(PIECE_PAUSE_MS))).await;
            rest = last;
        }
        self.context.checker.borrow_mut().request_sent(
            request.transaction,
            request.class,
            connection.gateway,
            request.remaining,
        );
        connection.http.send(rest).await.is_ok()
    }

    /// Keeps the connection for the next request in 9 of 10 cases, unless the response closes the connection.
    fn keep_alive(&mut self, mut connection: GatewayConnection, response: &Message) {
        if !response.closes_connection() && self.rng.random_range(0..10) > 0 {
            connection.is_reused = true;
            self.idle_connection = Some(connection);
        }
    }

    fn was_forwarded(&self, request: &Request) -> bool {
        let checker = self.context.checker.borrow();
        checker.was_forwarded(request.transaction)
    }

    fn was_killed(&self, connection: &GatewayConnection) -> bool {
        let state = self.context.directory.state(connection.gateway);
        state
            .killed_generation
            .is_some_and(|killed| killed >= connection.generation)
    }

    /// Checks a request whose connection ended without a response. The request is lost unless its gateway was killed,
    /// idle clients may be the cause, or the load balancer should no longer have opened the connection.
    fn check_closed(&self, connection: &GatewayConnection, request: &Request, close: Close) {
        let observations = &self.context.observations;
        if self.was_killed(connection) {
            return observations.increment("requests to gateways that were killed");
        }
        let has_idle_clients = self.context.settings.scenario.has_idle_clients;
        if has_idle_clients && close.may_be_due_to_idle_clients(self.was_forwarded(request)) {
            return observations.increment("requests closed unread in runs with idle clients");
        }
        if !connection.is_reused && self.was_opened_too_late(connection) {
            return observations.increment("requests to gateways that were shutting down");
        }
        let kind = if connection.is_reused {
            "reused"
        } else {
            "new"
        };
        let terminated_at = self
            .context
            .directory
            .state(connection.gateway)
            .terminated_at;
        let after_sigterm =
            terminated_at.and_then(|at| connection.opened_at.checked_duration_since(at));
        let detail = format!(
            "{close:?} on a {kind} connection, opened {:?} ago and {after_sigterm:?} after SIGTERM",
            connection.opened_at.elapsed()
        );
        self.report_lost(request, &detail);
    }

    /// True if the load balancer should no longer have opened the connection: it was opened more than twice
    /// `LOAD_BALANCER_DELAY` after SIGTERM. Once the next process of the gateway has started, the time of SIGTERM is
    /// no longer known. Then this returns true if the connection was opened longer ago than the longest deadline.
    fn was_opened_too_late(&self, connection: &GatewayConnection) -> bool {
        let state = self.context.directory.state(connection.gateway);
        let longest_deadline = self.context.settings.scenario.longest_deadline();
        let was_replaced = state.generation != connection.generation
            && state.terminated_at.is_none()
            && connection.opened_at.elapsed() > longest_deadline;
        let was_terminated = state
            .terminated_at
            .is_some_and(|at| connection.opened_at > at + 2 * LOAD_BALANCER_DELAY);
        was_replaced || was_terminated
    }

    fn check_timed_out(&self, connection: &GatewayConnection, request: &Request) {
        if !self.was_killed(connection) {
            self.report_lost(request, "no response in time");
        }
    }

    fn report_lost(&self, request: &Request, reason: &str) {
        let mut checker = self.context.checker.borrow_mut();
        checker.request_lost(request.transaction, reason);
    }

    /// Sends a request and disconnects before the response.
    async fn disconnect_early(&mut self, request: &Request, resets: bool, sends_extra_bytes: bool) {
        let Some(mut connection) = self.connect().await else {
            return;
        };
        if !self.send(&mut connection, request, false).await {
            return;
        }
        if sends_extra_bytes {
            let extra_bytes = vec![b'x'; self.rng.random_range(0..MAX_EXTRA_BYTES)];
            let _ = timeout(request.remaining, connection.http.send(&extra_bytes)).await;
        }
        sleep(Duration::from_millis(
            self.rng.random_range(DISCONNECT_DELAY_MS),
        ))
        .await;
        if resets {
            connection.http.reset_on_drop();
        }
        drop(connection);
        let mut checker = self.context.checker.borrow_mut();
        checker.client_disconnected(request.transaction);
    }

    /// Sends two requests without waiting in between, and reads both responses.
    async fn make_pipelined_requests(&mut self, first: &Request) {
        let second = self.requests.next();
        let Some(mut connection) = self.connect().await else {
            return;
        };
        for request in [first, &second] {
            if !self.send(&mut connection, request, false).await {
                return;
            }
        }
        for request in [first, &second] {
            match receive(&self.context, &mut connection.http, request).await {
                // No response follows a response that closes the connection.
                Outcome::Response(response) if response.closes_connection() => return,
                Outcome::Response(_) => {}
                Outcome::TimedOut => return self.check_timed_out(&connection, request),
                Outcome::Closed(close) if self.was_forwarded(request) => {
                    return self.check_closed(&connection, request, close);
                }
                // A client that pipelines requests has to expect that the connection ends after any response.
                Outcome::Closed(_) => return,
            }
        }
        connection.is_reused = true;
        self.idle_connection = Some(connection);
    }
}
