//! Clients of a gateway that is about to shut down. They connect before or shortly after SIGTERM, wait, and send a
//! request at any time up to SIGKILL, on a connection that is unused or has carried one request.

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

/// The first shutdown clients connect this long before SIGTERM.
pub const LEAD_TIME: Duration = Duration::from_millis(500);
/// Number of shutdown clients of one gateway.
const CLIENTS: u64 = 40;
/// Pause between the two pieces of a request.
const PIECE_PAUSE_MS: std::ops::Range<u64> = 1..400;
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The first number of a shutdown client, above the numbers of the steady load.
const FIRST_CLIENT_NUMBER: u64 = 1 << 20;

/// The way in which a client sends its last requests.
#[derive(Clone, Copy, PartialEq, Eq)]
enum SendPattern {
    /// One request without a pause.
    Complete,
    /// One request in two pieces, with a pause.
    InTwoPieces,
    /// Two requests without a pause.
    Pipelined,
}

/// One client of a gateway that is shutting down.
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
        let number = FIRST_CLIENT_NUMBER + gateway as u64 * CLIENTS + number;
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
        if self.rng.random() && !self.make_first_request(&mut connection).await {
            return;
        }
        sleep_until(send_at).await;
        self.send_last_requests(&mut connection).await;
    }

    /// Makes an ordinary request. Returns false if the connection can't be used any more.
    async fn make_first_request(&mut self, connection: &mut Connection) -> bool {
        let request = self.requests.next();
        self.record_sent(&request);
        // A failure is ignored: a response may have arrived before it.
        let _ = connection.send(request.text.as_bytes()).await;
        self.receive(connection, &request).await
    }

    /// Sends one or two requests in a random pattern on a connection that the gateway may be about to close.
    async fn send_last_requests(&mut self, connection: &mut Connection) {
        let pattern = match self.rng.random_range(0..3) {
            0 => SendPattern::Complete,
            1 => SendPattern::InTwoPieces,
            _ => SendPattern::Pipelined,
        };
        let mut requests = vec![self.requests.next()];
        if pattern == SendPattern::Pipelined {
            requests.push(self.requests.next());
        }
        let text: String = requests
            .iter()
            .map(|request| request.text.as_str())
            .collect();
        let mut rest = text.as_bytes();
        if pattern == SendPattern::InTwoPieces {
            let (first, last) = rest.split_at(self.rng.random_range(1..rest.len()));
            // Sending fails on a closed connection, and no complete request was sent.
            if connection.send(first).await.is_err() {
                return;
            }
            sleep(Duration::from_millis(self.rng.random_range(PIECE_PAUSE_MS))).await;
            rest = last;
        }
        if connection.is_closed_by_peer() {
            let observations = &self.context.observations;
            return observations.increment("connections closed before the last request");
        }
        for request in &requests {
            self.record_sent(request);
        }
        self.context
            .observations
            .increment("requests during a gateway's shutdown");
        // A failure is ignored: a response may have arrived before it.
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

    /// Waits for a response. Returns false if no further response can follow on the connection.
    async fn receive(&self, connection: &mut Connection, request: &Request) -> bool {
        match receive(&self.context, connection, request).await {
            Outcome::Response(response) => return !response.closes_connection(),
            Outcome::Closed(close) => self.check_closed(request, close),
            Outcome::TimedOut => self.report_lost(request, "no response in time"),
        }
        false
    }

    /// Reports a request as lost if the gateway has read it. A request that crossed the end of its connection unread
    /// may be sent again elsewhere.
    fn check_closed(&self, request: &Request, close: Close) {
        let was_forwarded = self
            .context
            .checker
            .borrow()
            .was_forwarded(request.transaction);
        match close {
            Close::Dropped => {
                self.report_lost(request, "read and dropped during the gateway's shutdown");
            }
            Close::Unread if was_forwarded => {
                self.report_lost(
                    request,
                    "forwarded, but no response during the gateway's shutdown",
                );
            }
            Close::Unread => {
                let observations = &self.context.observations;
                observations
                    .increment("requests during a gateway's shutdown that were closed unread");
            }
        }
    }

    fn report_lost(&self, request: &Request, reason: &str) {
        let mut checker = self.context.checker.borrow_mut();
        checker.request_lost(request.transaction, reason);
    }
}
