//! One client's connection: HTTP/1.1 by hyper, eviction, draining and the end.

use super::client::Client;
use super::disconnect::ClientStream;
use super::Server;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::io;
use std::pin::{self, pin};
use std::task::Poll;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::yield_now;
use tokio::time::{timeout_at, Instant};

/// A client has this long for a complete head, from the moment it connected or got its last response: heads without
/// end and silent connections hold a slot no longer.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2300);
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
    Closed(hyper::Result<()>),
    /// The client has gone while its request was being served.
    ClientGone,
}

impl Server {
    /// Serves a connection until it ends or its client is evicted.
    pub(super) async fn serve_until_evicted(
        &self,
        stream: TcpStream,
        client: &Client,
        close: watch::Receiver<bool>,
    ) {
        let mut connection = pin!(self.serve_connection(stream, client, close));
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
            if ended || !client.has_open_request() {
                return;
            }
        }
    }

    async fn serve_connection(&self, stream: TcpStream, client: &Client, close: watch::Receiver<bool>) {
        let _ = stream.set_nodelay(true);
        let stream = ClientStream::new(stream, self.read_ahead.clone());
        if let Some(stream) = self.serve_requests(stream, client, close).await {
            // The client may reset the connection meanwhile.
            let _ = timeout_at(Instant::now() + LINGER_TIMEOUT, linger(stream)).await;
        }
    }

    /// Serves requests until the connection ends. Returns the stream if the client may still be sending.
    async fn serve_requests(
        &self,
        stream: ClientStream,
        client: &Client,
        mut close: watch::Receiver<bool>,
    ) -> Option<ClientStream> {
        // Boxed, as the connection is taken apart at its end.
        let service = service_fn(|request| {
            Box::pin(async move { Ok::<_, Infallible>(self.respond(request, client).await) })
        });
        let mut connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(TokioIo::new(stream.clone()), service);
        let mut closing = false;
        let ended = loop {
            let ended = poll_fn(|cx| {
                let closed = connection.poll_without_shutdown(cx).map(Ended::Closed);
                // With bytes sent ahead hyper does not read on, and would not see the client go.
                if closed.is_pending() && client.is_being_served() {
                    return stream.poll_client_gone(cx).map(|()| Ended::ClientGone);
                }
                closed
            });
            tokio::select! {
                // What has come is read before the connection counts as idle.
                biased;
                ended = ended => break ended,
                _ = close.wait_for(|close| *close), if !closing => {
                    closing = true;
                    // A new one waits for its first request, whose response asks the client to close.
                    if client.has_sent_request() {
                        pin::Pin::new(&mut connection).graceful_shutdown();
                    }
                }
            }
        };
        match ended {
            // Its request ends with the connection.
            Ended::ClientGone => None,
            // It sent no head in time, and is sending none now.
            Ended::Closed(Err(e)) if e.is_timeout() => None,
            // That a client breaks off or sends no HTTP is not logged.
            Ended::Closed(_) => Some(connection.into_parts().io.into_inner()),
        }
    }
}

/// Closes the sending side, then reads and drops what the client still sends, up to a bound.
async fn linger(mut stream: ClientStream) -> io::Result<()> {
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
