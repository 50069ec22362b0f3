//! The steady load: clients that make one request after the other. Some leave early, send slowly or send ahead.

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
/// Pause between the two pieces of a request that is sent slowly.
const PIECE_PAUSE_MS: std::ops::Range<u64> = 1..800;
/// A client that leaves does so this long after its request.
const LEAVE_DELAY_MS: std::ops::Range<u64> = 0..60;
/// A connection comes up within this time or not at all.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest amount that a client sends ahead before it leaves, in bytes.
const MAX_SENT_AHEAD: usize = 4 << 20;

/// A connection to a gateway.
struct GatewayConnection {
    connection: Connection,
    gateway: usize,
    generation: u32,
    opened_at: Instant,
    is_reused: bool,
}

/// How a request is sent.
#[derive(Clone, Copy, PartialEq, Eq)]
enum SendPattern {
    Plain,
    /// In two pieces, with a pause.
    Slowly,
    /// The client leaves before its answer, by closing or by a reset.
    Leaves {
        resets: bool,
        sends_ahead: bool,
    },
    /// Another request behind it on the same connection.
    SendsAhead,
}

/// One client.
pub struct Client {
    context: ClientContext,
    leaving_percent: u32,
    requests: RequestSource,
    rng: ChaCha8Rng,
    /// A connection that is kept alive between two requests.
    idle_connection: Option<GatewayConnection>,
}

impl Client {
    /// The client of this number. It leaves before the answer to `leaving_percent` of its requests.
    pub fn new(context: ClientContext, number: u64, leaving_percent: u32) -> Self {
        let rng = crate::seeded_rng(context.settings.seed, "client", number);
        let requests = RequestSource::new(context.clone(), number);
        Client {
            context,
            leaving_percent,
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
                SendPattern::Leaves {
                    resets,
                    sends_ahead,
                } => {
                    self.leave(&request, resets, sends_ahead).await;
                }
                SendPattern::SendsAhead => self.send_two(&request).await,
                pattern => self.make(&request, pattern == SendPattern::Slowly).await,
            }
        }
    }

    fn draw_pattern(&mut self) -> SendPattern {
        if self.rng.random_range(0..100) < self.leaving_percent {
            return SendPattern::Leaves {
                resets: self.rng.random(),
                sends_ahead: self.rng.random(),
            };
        }
        match self.rng.random_range(0..100) {
            0..4 => SendPattern::Slowly,
            4..8 => SendPattern::SendsAhead,
            _ => SendPattern::Plain,
        }
    }

    /// A connection that may be used, opened if there is none.
    async fn connect(&mut self) -> Option<GatewayConnection> {
        if let Some(connection) = self.idle_connection.take() {
            return Some(connection);
        }
        let admitted = self.context.directory.admitted();
        let (gateway, state) = *admitted.choose(&mut self.rng)?;
        let connecting = TcpStream::connect(state.address);
        let stream = timeout(CONNECT_TIMEOUT, connecting).await.ok()?.ok()?;
        Some(GatewayConnection {
            connection: Connection::new(stream),
            gateway,
            generation: state.generation,
            opened_at: Instant::now(),
            is_reused: false,
        })
    }

    /// Makes a request and waits for its outcome. One that crosses the close of an idle connection is sent once more.
    async fn make(&mut self, request: &Request, slowly: bool) {
        for _ in 0..2 {
            let Some(mut open) = self.connect().await else {
                return;
            };
            // Where it fails, an answer may have come before.
            let _ = self.send(&mut open, request, slowly).await;
            match receive(&self.context, &mut open.connection, request).await {
                Outcome::Answered(answer) => return self.keep(open, &answer),
                Outcome::TimedOut => return self.check_timed_out(&open, request),
                Outcome::Closed(Close::Unread)
                    if open.is_reused && !self.was_forwarded(request) =>
                {
                    let observations = &self.context.observations;
                    observations.count("requests that crossed a close");
                }
                Outcome::Closed(close) => return self.check_closed(&open, request, close),
            }
        }
    }

    /// Sends a request; false if the connection broke.
    async fn send(
        &mut self,
        open: &mut GatewayConnection,
        request: &Request,
        slowly: bool,
    ) -> bool {
        let mut rest = request.text.as_bytes();
        if slowly {
            let (first, last) = rest.split_at(self.rng.random_range(1..rest.len()));
            if open.connection.send(first).await.is_err() {
                return false;
            }
            sleep(Duration::from_millis(self.rng.random_range(PIECE_PAUSE_MS))).await;
            rest = last;
        }
        self.context.checker.borrow_mut().request_sent(
            request.transaction,
            request.class,
            open.gateway,
            request.remaining,
        );
        open.connection.send(rest).await.is_ok()
    }

    fn keep(&mut self, mut open: GatewayConnection, answer: &Message) {
        if !answer.closes_connection() && self.rng.random_range(0..10) > 0 {
            open.is_reused = true;
            self.idle_connection = Some(open);
        }
    }

    fn was_forwarded(&self, request: &Request) -> bool {
        let checker = self.context.checker.borrow();
        checker.was_forwarded(request.transaction)
    }

    fn was_killed(&self, open: &GatewayConnection) -> bool {
        let state = self.context.directory.state(open.gateway);
        state
            .killed_generation
            .is_some_and(|killed| killed >= open.generation)
    }

    /// A request whose connection ended without an answer is lost, unless its gateway was killed, or the load balancer should
    /// not have opened the connection any more.
    fn check_closed(&self, open: &GatewayConnection, request: &Request, close: Close) {
        let observations = &self.context.observations;
        if self.was_killed(open) {
            return observations.count("requests of killed gateways");
        }
        let has_idle_clients = self.context.settings.scenario.has_idle_clients;
        if has_idle_clients && close.is_due_to_idle_clients(self.was_forwarded(request)) {
            return observations.count("requests closed unread among idle clients");
        }
        if !open.is_reused && self.was_opened_too_late(open) {
            return observations.count("requests to gateways that were ending");
        }
        let how = if open.is_reused { "a reused" } else { "a new" };
        let terminated_at = self.context.directory.state(open.gateway).terminated_at;
        let after_sigterm = terminated_at.and_then(|at| open.opened_at.checked_duration_since(at));
        let detail = format!(
            "{close:?} on {how} connection, opened {:?} ago and {after_sigterm:?} after SIGTERM",
            open.opened_at.elapsed()
        );
        self.lost(request, &detail);
    }

    fn was_opened_too_late(&self, open: &GatewayConnection) -> bool {
        let state = self.context.directory.state(open.gateway);
        let longest_deadline = self.context.settings.scenario.longest_deadline();
        let was_replaced = state.generation != open.generation
            && state.terminated_at.is_none()
            && open.opened_at.elapsed() > longest_deadline;
        let was_terminated = state
            .terminated_at
            .is_some_and(|at| open.opened_at > at + 2 * LOAD_BALANCER_DELAY);
        was_replaced || was_terminated
    }

    fn check_timed_out(&self, open: &GatewayConnection, request: &Request) {
        if !self.was_killed(open) {
            self.lost(request, "no answer in time");
        }
    }

    fn lost(&self, request: &Request, how: &str) {
        let mut checker = self.context.checker.borrow_mut();
        checker.lost(request.transaction, how);
    }

    /// Sends a request and leaves before its answer.
    async fn leave(&mut self, request: &Request, resets: bool, sends_ahead: bool) {
        let Some(mut open) = self.connect().await else {
            return;
        };
        if !self.send(&mut open, request, false).await {
            return;
        }
        if sends_ahead {
            let noise = vec![b'x'; self.rng.random_range(0..MAX_SENT_AHEAD)];
            let _ = timeout(request.remaining, open.connection.send(&noise)).await;
        }
        sleep(Duration::from_millis(self.rng.random_range(LEAVE_DELAY_MS))).await;
        if resets {
            open.connection.reset_on_drop();
        }
        drop(open);
        let mut checker = self.context.checker.borrow_mut();
        checker.client_closed(request.transaction);
    }

    /// Sends two requests together and reads both answers.
    async fn send_two(&mut self, first: &Request) {
        let second = self.requests.next();
        let Some(mut open) = self.connect().await else {
            return;
        };
        for request in [first, &second] {
            if !self.send(&mut open, request, false).await {
                return;
            }
        }
        for request in [first, &second] {
            match receive(&self.context, &mut open.connection, request).await {
                // Behind this nothing more is answered.
                Outcome::Answered(answer) if answer.closes_connection() => return,
                Outcome::Answered(_) => {}
                Outcome::TimedOut => return self.check_timed_out(&open, request),
                Outcome::Closed(close) if self.was_forwarded(request) => {
                    return self.check_closed(&open, request, close);
                }
                // A client that sends ahead has to expect that the connection ends behind an answer.
                Outcome::Closed(_) => return,
            }
        }
        open.is_reused = true;
        self.idle_connection = Some(open);
    }
}
