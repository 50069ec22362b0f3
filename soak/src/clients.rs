//! The load: clients that behave, and some that leave early, send slowly or send ahead.

use crate::gateway::FRONT_DELAY;
use crate::http::{Connection, Message};
use crate::outcome::{receive, Close, End};
use crate::request::{Request, RequestSource};
use crate::world::World;
use rand::seq::IndexedRandom;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

/// Mean pause of a client between two requests.
const PAUSE_MS: std::ops::Range<u64> = 5..200;
/// A connection comes up within this time or not at all.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest amount that a client sends ahead before it leaves.
const MAX_SENT_AHEAD: usize = 4 << 20;

/// A connection to a gateway.
struct Open {
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
    world: Rc<World>,
    leaving_percent: u32,
    requests: RequestSource,
    rng: ChaCha8Rng,
    kept: Option<Open>,
}

impl Client {
    /// The client of this number, which leaves so many requests in a hundred before their answer.
    pub fn new(world: Rc<World>, number: u64, leaving_percent: u32) -> Self {
        let rng = crate::stream(world.seed, "client", number);
        let requests = RequestSource::new(world.clone(), number);
        Client {
            world,
            leaving_percent,
            requests,
            rng,
            kept: None,
        }
    }

    /// Makes requests until the load ends.
    pub async fn run(mut self) {
        while !self.world.has_ended() {
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
    async fn connect(&mut self) -> Option<Open> {
        if let Some(kept) = self.kept.take() {
            return Some(kept);
        }
        let (gateway, address, generation) = self.pick_gateway()?;
        let connecting = TcpStream::connect(address);
        let stream = timeout(CONNECT_TIMEOUT, connecting).await.ok()?.ok()?;
        let connection = Connection::new(stream);
        Some(Open {
            connection,
            gateway,
            generation,
            opened_at: Instant::now(),
            is_reused: false,
        })
    }

    fn pick_gateway(&mut self) -> Option<(usize, std::net::SocketAddr, u32)> {
        let gateways = self.world.gateways.borrow();
        let admitted: Vec<_> = gateways
            .iter()
            .enumerate()
            .filter(|(_, state)| state.is_admitted)
            .collect();
        let (index, state) = admitted.choose(&mut self.rng)?;
        Some((*index, state.address, state.generation))
    }

    /// Makes a request and sees it through. One that crosses the end of a resting connection is sent once more.
    async fn make(&mut self, request: &Request, slowly: bool) {
        for _ in 0..2 {
            let Some(mut open) = self.connect().await else {
                return;
            };
            // Where it fails, an answer may have come before.
            let _ = self.send(&mut open, request, slowly).await;
            match receive(&self.world, &mut open.connection, request).await {
                End::Answered(answer) => return self.keep(open, &answer),
                End::TimedOut => return self.judge_timed_out(&open, request),
                End::Closed(Close::Unread) if open.is_reused && !self.was_forwarded(request) => {
                    self.world
                        .judge
                        .borrow_mut()
                        .count("requests that crossed a close");
                }
                End::Closed(close) => return self.judge_closed(&open, request, close),
            }
        }
    }

    /// Sends a request; false if the connection broke.
    async fn send(&mut self, open: &mut Open, request: &Request, slowly: bool) -> bool {
        let mut rest = request.text.as_bytes();
        if slowly {
            let (first, last) = rest.split_at(self.rng.random_range(1..rest.len()));
            if open.connection.send(first).await.is_err() {
                return false;
            }
            sleep(Duration::from_millis(self.rng.random_range(1..800))).await;
            rest = last;
        }
        self.world.judge.borrow_mut().request_sent(
            request.transaction,
            request.class,
            open.gateway,
            request.remaining,
        );
        open.connection.send(rest).await.is_ok()
    }

    fn keep(&mut self, mut open: Open, answer: &Message) {
        if !answer.closes() && self.rng.random_range(0..10) > 0 {
            open.is_reused = true;
            self.kept = Some(open);
        }
    }

    fn was_forwarded(&self, request: &Request) -> bool {
        self.world.judge.borrow().was_forwarded(request.transaction)
    }

    fn was_killed(&self, open: &Open) -> bool {
        let gateways = self.world.gateways.borrow();
        gateways[open.gateway]
            .killed_generation
            .is_some_and(|killed| killed >= open.generation)
    }

    /// A request whose connection ended without an answer is lost, unless its gateway was killed, or the front should
    /// not have opened the connection any more.
    fn judge_closed(&self, open: &Open, request: &Request, close: Close) {
        if self.was_killed(open) {
            return self
                .world
                .judge
                .borrow_mut()
                .count("requests of killed gateways");
        }
        if self.world.conditions.has_crowd && close.is_due_to_crowd(self.was_forwarded(request)) {
            return self
                .world
                .judge
                .borrow_mut()
                .count("requests shut unread in a crowd");
        }
        if !open.is_reused && self.was_opened_too_late(open) {
            return self
                .world
                .judge
                .borrow_mut()
                .count("requests to gateways that were ending");
        }
        let how = if open.is_reused { "a reused" } else { "a new" };
        let opened_at = open.opened_at;
        let terminated_at = self.world.gateways.borrow()[open.gateway].terminated_at;
        let after_sigterm = terminated_at.and_then(|at| opened_at.checked_duration_since(at));
        let detail = format!(
            "{close:?} on {how} connection, opened {:?} ago and {after_sigterm:?} after SIGTERM",
            opened_at.elapsed()
        );
        self.world
            .judge
            .borrow_mut()
            .lost(request.transaction, &detail);
    }

    fn was_opened_too_late(&self, open: &Open) -> bool {
        let gateways = self.world.gateways.borrow();
        let state = &gateways[open.gateway];
        // The process has been replaced, or was told to end long before.
        state.generation != open.generation
            && state.terminated_at.is_none()
            && open.opened_at.elapsed() > self.world.conditions.longest_deadline()
            || state
                .terminated_at
                .is_some_and(|at| open.opened_at > at + 2 * FRONT_DELAY)
    }

    fn judge_timed_out(&self, open: &Open, request: &Request) {
        if !self.was_killed(open) {
            self.world
                .judge
                .borrow_mut()
                .lost(request.transaction, "no answer in time");
        }
    }

    /// Sends a request and goes before its answer.
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
        sleep(Duration::from_millis(self.rng.random_range(0..60))).await;
        if resets {
            open.connection.reset();
        } else {
            drop(open);
        }
        self.world
            .judge
            .borrow_mut()
            .client_closed(request.transaction);
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
            match receive(&self.world, &mut open.connection, request).await {
                // Behind this nothing more is answered.
                End::Answered(answer) if answer.closes() => return,
                End::Answered(_) => {}
                End::TimedOut => return self.judge_timed_out(&open, request),
                // Whoever sends ahead bears that the connection ends behind an answer.
                End::Closed(close) if self.was_forwarded(request) => {
                    return self.judge_closed(&open, request, close);
                }
                End::Closed(_) => return,
            }
        }
        open.is_reused = true;
        self.kept = Some(open);
    }
}
