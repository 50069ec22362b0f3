//! Clients of a gateway that is about to end. They connect before or shortly after SIGTERM, rest, and send a request at
//! any moment up to SIGKILL, on a connection that they have not used yet or have used once.

use super::context::ClientContext;
use super::outcome::{receive, Close, Outcome};
use super::request::{Request, RequestSource};
use crate::gateway_directory::LOAD_BALANCER_DELAY;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use stand_ins::connection::Connection;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// The first of these clients connect this long before SIGTERM.
pub const LEAD_TIME: Duration = Duration::from_millis(500);
/// Clients of one gateway.
const CLIENTS: u64 = 40;
/// Pause between the two pieces of a request.
const PIECE_PAUSE_MS: std::ops::Range<u64> = 1..400;
/// A connection comes up within this time or not at all.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Numbers of these clients start here, behind those of the steady load.
const FIRST_NUMBER: u64 = 1 << 20;

/// How a client sends what it has to send.
#[derive(Clone, Copy, PartialEq, Eq)]
enum SendPattern {
    Complete,
    InTwoPieces,
    TwoAtOnce,
}

/// One of these clients.
struct ShutdownClient {
    context: ClientContext,
    gateway: usize,
    address: SocketAddr,
    rng: ChaCha8Rng,
    requests: RequestSource,
}

/// Starts the clients of a gateway that gets SIGTERM after `LEAD_TIME`.
pub fn start(context: &ClientContext, gateway: usize, rng: &mut ChaCha8Rng) -> JoinSet<()> {
    let terminated_at = Instant::now() + LEAD_TIME;
    let mut clients = JoinSet::new();
    for number in 0..CLIENTS {
        let rng = crate::seeded_rng(rng.random(), "shutdown client", number);
        let number = FIRST_NUMBER + gateway as u64 * CLIENTS + number;
        let client = ShutdownClient {
            context: context.clone(),
            gateway,
            address: context.directory.state(gateway).address,
            rng,
            requests: RequestSource::new(context.clone(), number),
        };
        clients.spawn_local(client.run(terminated_at));
    }
    clients
}

impl ShutdownClient {
    async fn run(mut self, terminated_at: Instant) {
        let started_at = Instant::now();
        let connect_after = self
            .rng
            .random_range(Duration::ZERO..LEAD_TIME + LOAD_BALANCER_DELAY);
        let send_at = terminated_at
            + self
                .rng
                .random_range(Duration::ZERO..self.context.settings.scenario.kill_after());
        sleep_until(started_at + connect_after).await;
        let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await;
        let Ok(Ok(stream)) = connecting else { return };
        let mut connection = Connection::new(stream);
        if self.rng.random() && !self.use_once(&mut connection).await {
            return;
        }
        sleep_until(send_at).await;
        self.send_late(&mut connection).await;
    }

    /// Makes a request in the way of any other client; false if the connection can't be used any more.
    async fn use_once(&mut self, connection: &mut Connection) -> bool {
        let request = self.requests.next();
        self.record_sent(&request);
        // Where it fails, an answer may have come before.
        let _ = connection.send(request.text.as_bytes()).await;
        self.receive(connection, &request).await
    }

    /// Sends what is drawn, on a connection that the gateway may be about to close.
    async fn send_late(&mut self, connection: &mut Connection) {
        let pattern = match self.rng.random_range(0..3) {
            0 => SendPattern::Complete,
            1 => SendPattern::InTwoPieces,
            _ => SendPattern::TwoAtOnce,
        };
        let mut requests = vec![self.requests.next()];
        if pattern == SendPattern::TwoAtOnce {
            requests.push(self.requests.next());
        }
        let text: String = requests
            .iter()
            .map(|request| request.text.as_str())
            .collect();
        let mut rest = text.as_bytes();
        if pattern == SendPattern::InTwoPieces {
            let (first, last) = rest.split_at(self.rng.random_range(1..rest.len()));
            // It fails on a connection that was closed: nothing was sent.
            if connection.send(first).await.is_err() {
                return;
            }
            sleep(Duration::from_millis(self.rng.random_range(PIECE_PAUSE_MS))).await;
            rest = last;
        }
        if connection.is_closed_by_peer() {
            let observations = &self.context.observations;
            return observations.count("connections closed before the last request");
        }
        for request in &requests {
            self.record_sent(request);
        }
        self.context
            .observations
            .count("requests at a gateway's end");
        // Where it fails, an answer may have come before.
        let _ = connection.send(rest).await;
        for request in &requests {
            if !self.receive(connection, request).await {
                return;
            }
        }
    }

    fn record_sent(&self, request: &Request) {
        let mut checker = self.context.checker.borrow_mut();
        checker.request_sent(
            request.transaction,
            request.class,
            self.gateway,
            request.remaining,
        );
    }

    /// Waits for an answer; false if nothing more is answered behind it.
    async fn receive(&self, connection: &mut Connection, request: &Request) -> bool {
        match receive(&self.context, connection, request).await {
            Outcome::Answered(answer) => return !answer.closes_connection(),
            Outcome::Closed(close) => self.check_unanswered(request, close),
            Outcome::TimedOut => self.lost(request, "no answer in time"),
        }
        false
    }

    /// A request that crossed the end of its connection, unread, may be sent once more elsewhere; one that was read is
    /// lost.
    fn check_unanswered(&self, request: &Request, close: Close) {
        let was_forwarded = self
            .context
            .checker
            .borrow()
            .was_forwarded(request.transaction);
        match close {
            Close::Dropped => self.lost(request, "read and dropped at the gateway's end"),
            Close::Unread if was_forwarded => {
                self.lost(request, "not answered at the gateway's end");
            }
            Close::Unread => {
                let observations = &self.context.observations;
                observations.count("requests at a gateway's end that crossed a close");
            }
        }
    }

    fn lost(&self, request: &Request, how: &str) {
        let mut checker = self.context.checker.borrow_mut();
        checker.lost(request.transaction, how);
    }
}
