//! One client's connection: HTTP/1.1 by hyper, eviction, draining and the end.

use super::client::Client;
use super::disconnect::ClientStream;
use super::Server;
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
use tokio::sync::watch;
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
    /// Connections close, and the client has its last response.
    Drained,
}

/// Wakes a connection when its client has to have a complete head.
struct HeadTimer {
    timer: Pin<Box<Sleep>>,
}

impl HeadTimer {
    fn new(client: &Client) -> Self {
        HeadTimer { timer: Box::pin(sleep_until(next_check(client))) }
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
    client.head_deadline().unwrap_or_else(|| Instant::now() + DEADLINE_CHECK_INTERVAL)
}

fn is_expired(client: &Client) -> bool {
    client.head_deadline().is_some_and(|deadline| deadline <= Instant::now())
}

impl Server {
    /// Serves a connection until it ends or its client is evicted.
    pub(super) async fn serve_until_evicted(
        &self,
        socket: Socket,
        client: &Rc<Client>,
        close: watch::Receiver<bool>,
    ) {
        let mut connection = pin!(self.serve_connection(socket, client, close));
        loop {
            tokio::select! {
                biased;
                () = &mut connection => return,
                () = client.evicted() => {}
            }
            // Guards against losing a request that has come but was not read yet, as after a pause of the whole
            // program: the runtime takes in what has come, then the connection reads it.
            yield_now().await;
            let ended = poll_fn(|cx| Poll::Ready(connection.as_mut().poll(cx).is_ready())).await;
            if ended {
                return;
            }
            if !client.has_open_request() {
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
            self.driver.guard().report(Rule::CloseUnanswered, "the connection ended first");
        }
    }

    async fn serve_connection(&self, socket: Socket, client: &Rc<Client>, close: watch::Receiver<bool>) {
        let stream = ClientStream::new(socket, client.clone(), self.read_ahead.clone());
        let stream = self.serve_requests(stream, client, close).await;
        client.connection_ended();
        if let Some(stream) = stream {
            // The client may reset the connection meanwhile.
            let _ = timeout_at(Instant::now() + LINGER_TIMEOUT, linger(stream.socket())).await;
        }
    }

    /// Serves requests until the connection ends. Returns the stream if the client may still be sending.
    async fn serve_requests(
        &self,
        stream: ClientStream,
        client: &Client,
        mut close: watch::Receiver<bool>,
    ) -> Option<ClientStream> {
        let socket = stream.socket().downgrade();
        let service = service_fn(|request| {
            let socket = socket.clone();
            Box::pin(async move { Ok::<_, Infallible>(self.respond(request, client, socket).await) })
        });
        let mut connection = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(TokioIo::new(stream.clone()), service);
        let mut head_timer = HeadTimer::new(client);
        let mut closing = false;
        let mut has_shut_down = false;
        let ended = loop {
            let may_drain = closing && !has_shut_down;
            let ended = poll_fn(|cx| {
                let served = connection.poll_without_shutdown(cx).is_ready();
                poll_ended(served, may_drain, &stream, client, &mut head_timer, cx)
            });
            tokio::select! {
                // What has come is read before the connection counts as idle.
                biased;
                ended = ended => match ended {
                    Ended::TimedOut => {
                        // The system may have bytes that the runtime does not know of, as after a pause of the whole
                        // program: they are read first.
                        yield_now().await;
                        if poll_fn(|cx| Poll::Ready(connection.poll_without_shutdown(cx).is_ready())).await {
                            break Ended::Closed;
                        }
                        if is_expired(client) && !stream.has_unread_bytes() {
                            break Ended::TimedOut;
                        }
                    }
                    Ended::Drained => {
                        // As above: a request may have come, and is answered first.
                        yield_now().await;
                        if !stream.has_unread_bytes() {
                            has_shut_down = true;
                            Pin::new(&mut connection).graceful_shutdown();
                        }
                    }
                    ended => break ended,
                },
                _ = close.wait_for(|close| *close), if !closing => {
                    // Whoever is new or has begun a request is waited for.
                    closing = true;
                }
            }
        };
        let reason = match ended {
            Ended::ClientGone => ConnectionEnd::ClientGone,
            Ended::TimedOut => ConnectionEnd::TimedOut,
            Ended::Closed if closing => ConnectionEnd::Draining,
            Ended::Closed | Ended::Drained => ConnectionEnd::Finished,
        };
        self.record_end(reason);
        if !matches!(ended, Ended::Closed) {
            return None;
        }
        self.check_end(client, &stream);
        // A resting connection is closed unread: a request that crosses that may be sent again.
        (!has_shut_down).then_some(stream)
    }
}

/// Whether requests on a connection end for now. `served` tells that hyper has ended it; `may_drain` that it closes once
/// it is idle.
fn poll_ended(
    served: bool,
    may_drain: bool,
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
    if may_drain && client.is_idle() {
        return Poll::Ready(Ended::Drained);
    }
    head_timer.poll_expired(client, cx).map(|()| Ended::TimedOut)
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
