//! One client's connection: HTTP/1.1 by hyper, eviction, draining and the end.

use super::client::Client;
use super::disconnect::ClientStream;
use super::response;
use super::Server;
use crate::lifecycle::Phase;
use crate::metrics::{ConnectionEnd, Rule};
use crate::socket::Socket;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::io;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::yield_now;
use tokio::time::{sleep_until, timeout_at, Instant, Sleep};

/// How often a client that has a request open is looked at again: for whether its time for the next one runs.
const DEADLINE_CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Largest head.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// After the last response this much more is read and dropped. Closed with bytes unread, the system would reset the
/// connection, and a client that is still sending would lose its response.
const LINGER_MAX_BYTES: u64 = 64 << 20;
/// For this long.
const LINGER_TIMEOUT: Duration = Duration::from_millis(2500);
/// In pieces of this size.
const LINGER_BUFFER_BYTES: usize = 64 * 1024;

/// Why the requests on a connection have ended.
enum Ended {
    /// hyper has ended the connection.
    Closed,
    /// The client has gone while its request was being served.
    ClientGone,
    /// The client has sent no complete head in time.
    TimedOut,
    /// The process ends, and nothing is owed to the client.
    Drained,
    /// The process ends, and a request has come in part.
    Incomplete,
}

/// Wakes a connection when its client has to have a complete head.
struct HeadTimer {
    timer: Pin<Box<Sleep>>,
}

impl HeadTimer {
    fn new(client: &Client) -> Self {
        HeadTimer {
            timer: Box::pin(sleep_until(next_check(client))),
        }
    }

    /// Ready once the client's time is over. The timer may go off earlier: it is set anew only then, as setting it for
    /// each request would cost more.
    fn poll_expired(&mut self, client: &Client, cx: &mut Context<'_>) -> Poll<()> {
        while self.timer.as_mut().poll(cx).is_ready() {
            if is_expired(client) {
                return Poll::Ready(());
            }
            self.timer.as_mut().reset(next_check(client));
        }
        Poll::Pending
    }
}

fn next_check(client: &Client) -> Instant {
    client
        .head_deadline()
        .unwrap_or_else(|| Instant::now() + DEADLINE_CHECK_INTERVAL)
}

fn is_expired(client: &Client) -> bool {
    client
        .head_deadline()
        .is_some_and(|deadline| deadline <= Instant::now())
}

impl Server {
    /// Serves a connection until it ends or its client is evicted.
    pub(super) async fn serve_until_evicted(&self, socket: Socket, client: &Rc<Client>) {
        let mut connection = pin!(self.serve_connection(socket, client));
        loop {
            tokio::select! {
                biased;
                () = &mut connection => return,
                () = client.evicted() => {}
            }
            // Guards against losing a request that has come but was not read yet, as after a stall of the whole
            // program: the runtime takes in what has come, then the connection reads it.
            yield_now().await;
            let ended = poll_fn(|cx| Poll::Ready(connection.as_mut().poll(cx).is_ready())).await;
            if ended {
                return;
            }
            if !client.is_owed_response() {
                return self.record_end(ConnectionEnd::Evicted);
            }
        }
    }

    fn record_end(&self, end: ConnectionEnd) {
        self.driver.metrics().connections_ended.increment(end);
        tracing::debug!(reason = %end, "connection of a client ended");
    }

    /// No connection may be closed under a complete request without a response, unless its client has gone.
    fn check_end(&self, client: &Client, stream: &ClientStream) {
        if client.is_being_served() && !stream.has_ended() {
            self.driver
                .rule_checker()
                .report(Rule::CloseUnanswered, "the connection ended first");
        }
    }

    async fn serve_connection(&self, socket: Socket, client: &Rc<Client>) {
        let stream = ClientStream::new(socket, client.clone(), self.read_ahead.clone());
        let stream = self.serve_requests(stream, client).await;
        client.connection_ended();
        if let Some(stream) = stream {
            // The client may reset the connection meanwhile.
            let _ = timeout_at(Instant::now() + LINGER_TIMEOUT, linger(stream.socket())).await;
        }
    }

    /// Serves requests until the connection ends. Returns the stream if the client may still be sending.
    async fn serve_requests(&self, stream: ClientStream, client: &Client) -> Option<ClientStream> {
        let socket = stream.socket().downgrade();
        let service = service_fn(|request| {
            let socket = socket.clone();
            Box::pin(
                async move { Ok::<_, Infallible>(self.respond(request, client, socket).await) },
            )
        });
        let mut connection = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(TokioIo::new(stream.clone()), service);
        let mut head_timer = HeadTimer::new(client);
        let mut phase = self.lifecycle.subscribe();
        let ended = loop {
            let current_phase = *phase.borrow_and_update();
            let ended = poll_fn(|cx| {
                let served = connection.poll_without_shutdown(cx).is_ready();
                poll_ended(served, current_phase, &stream, client, &mut head_timer, cx)
            });
            let ended = tokio::select! {
                // What has come is read before the connection counts as idle.
                biased;
                ended = ended => ended,
                // Fails only once the process has no lifecycle any more.
                Ok(()) = phase.changed() => continue,
            };
            if matches!(ended, Ended::Closed | Ended::ClientGone) {
                break ended;
            }
            // The system may have bytes that the runtime does not know of, as after a stall of the whole process:
            // they are read first, and the connection goes on if they change what is owed.
            yield_now().await;
            if poll_fn(|cx| Poll::Ready(connection.poll_without_shutdown(cx).is_ready())).await {
                break Ended::Closed;
            }
            let still_ends = match ended {
                Ended::TimedOut => is_expired(client),
                Ended::Incomplete => is_incomplete(current_phase, client),
                _ => is_drained(current_phase, client),
            };
            if still_ends && !stream.has_unread_bytes() {
                break ended;
            }
        };
        self.record_end(end_reason(&ended, *phase.borrow()));
        match ended {
            Ended::Closed => {
                self.check_end(client, &stream);
                Some(stream)
            }
            Ended::Incomplete => {
                // A broken connection needs no response.
                let _ = stream
                    .socket()
                    .write_all(response::incomplete_at_shutdown().as_bytes())
                    .await;
                Some(stream)
            }
            // Closed unread: a request that crosses the close may be sent again.
            Ended::ClientGone | Ended::TimedOut | Ended::Drained => None,
        }
    }
}

fn end_reason(ended: &Ended, phase: Phase) -> ConnectionEnd {
    match ended {
        Ended::ClientGone => ConnectionEnd::ClientGone,
        Ended::TimedOut => ConnectionEnd::TimedOut,
        Ended::Incomplete => ConnectionEnd::Incomplete,
        Ended::Drained => ConnectionEnd::Draining,
        Ended::Closed if phase >= Phase::NoNewConnections => ConnectionEnd::Draining,
        Ended::Closed => ConnectionEnd::Finished,
    }
}

/// Whether a connection closes as the process ends: nothing is owed to its client. One that has not sent its first
/// request is waited for, until requests are refused.
fn is_drained(phase: Phase, client: &Client) -> bool {
    !client.is_busy()
        && phase >= Phase::NoNewConnections
        && (client.has_sent_request() || phase >= Phase::Refusing)
}

/// Whether a connection is refused as the process ends: a request has come in part, and nothing else is owed.
fn is_incomplete(phase: Phase, client: &Client) -> bool {
    phase >= Phase::Refusing && client.has_begun_head() && !client.is_owed_response()
}

/// Whether requests on a connection end for now. `served` tells that hyper has ended it.
fn poll_ended(
    served: bool,
    phase: Phase,
    stream: &ClientStream,
    client: &Client,
    head_timer: &mut HeadTimer,
    cx: &mut Context<'_>,
) -> Poll<Ended> {
    if served {
        return Poll::Ready(Ended::Closed);
    }
    // With bytes sent ahead hyper does not read on, and would not see the client go.
    if client.is_being_served() && stream.poll_client_gone(cx).is_ready() {
        return Poll::Ready(Ended::ClientGone);
    }
    if is_drained(phase, client) {
        return Poll::Ready(Ended::Drained);
    }
    if is_incomplete(phase, client) {
        return Poll::Ready(Ended::Incomplete);
    }
    head_timer
        .poll_expired(client, cx)
        .map(|()| Ended::TimedOut)
}

/// Closes the sending side, then reads and drops what the client still sends, up to a bound.
async fn linger(mut stream: Socket) -> io::Result<()> {
    stream.shutdown().await?;
    let mut buffer = vec![0; LINGER_BUFFER_BYTES];
    let mut left = LINGER_MAX_BYTES;
    while left > 0 {
        let read = stream.read(&mut buffer).await?;
        if read == 0 {
            break;
        }
        left = left.saturating_sub(read as u64);
    }
    Ok(())
}
