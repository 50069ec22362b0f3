//! One client's connection: HTTP/1.1 by hyper, from the first byte to the close.
//!
//! - `close_reason`: when and why the gateway closes it
//! - `head_timer`: the time limit for the head of the next request
//! - `linger`: the close behind a last response

mod close_reason;
mod head_timer;
mod linger;

use super::client::Client;
use super::client_stream::ClientStream;
use super::response;
use super::Server;
use crate::metrics::{ConnectionEnd, Rule};
use crate::socket::Socket;
use close_reason::{poll_close_reason, CloseReason};
use head_timer::HeadTimer;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use linger::linger;
use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use tokio::io::AsyncWriteExt;
use tokio::task::yield_now;

/// Largest head of a request.
const MAX_HEAD_BYTES: usize = 16 * 1024;

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
            // Failure: the client sent a request while the process was stalled, and is evicted as idle before the
            // request is read. It sees its connection closed without a response.
            // Yielding has the runtime poll the sockets, and polling the connection reads what they have; only then
            // is the client asked again whether anything is owed to it.
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
        tracing::debug!(reason = %end, "client connection closed");
    }

    /// Reports a connection that ended under a complete request without a response, unless its client disconnected.
    fn report_unanswered_close(&self, client: &Client, stream: &ClientStream) {
        if client.is_being_served() && !stream.has_disconnected() {
            self.driver
                .rule_checker()
                .report(Rule::CloseUnanswered, "the connection ended first");
        }
    }

    async fn serve_connection(&self, socket: Socket, client: &Rc<Client>) {
        let stream = ClientStream::new(socket, client.clone(), self.read_ahead.clone());
        let reason = self.serve_requests(&stream, client).await;
        if matches!(reason, CloseReason::PartialRequest) {
            // A broken connection needs no response.
            let _ = stream
                .socket()
                .write_all(response::incomplete_at_shutdown().as_bytes())
                .await;
        }
        client.connection_ended();
        if reason.may_still_be_sending() {
            linger(stream.socket()).await;
        }
    }

    /// Serves requests until there is a reason to close the connection.
    async fn serve_requests(&self, stream: &ClientStream, client: &Client) -> CloseReason {
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
        let reason = loop {
            let current_phase = *phase.borrow_and_update();
            let close_reason = poll_fn(|cx| {
                let served = connection.poll_without_shutdown(cx).is_ready();
                poll_close_reason(served, current_phase, stream, client, &mut head_timer, cx)
            });
            let reason = tokio::select! {
                // Bytes that have arrived are read before the connection counts as idle.
                biased;
                reason = close_reason => reason,
                // Fails only once the process has no lifecycle any more.
                Ok(()) = phase.changed() => continue,
            };
            if !reason.is_revocable() {
                break reason;
            }
            // Failure: a request arrives together with the time-out or the end of an idle connection, usually during
            // a stall of the process, and the connection is closed with the request unread. The client sees a close
            // or a reset without a response.
            // Yielding has the runtime poll the sockets, polling the connection reads what they have, and the peek
            // asks the system for what arrived since. Nothing is awaited between the peek and the decision to close.
            yield_now().await;
            if poll_fn(|cx| Poll::Ready(connection.poll_without_shutdown(cx).is_ready())).await {
                break CloseReason::Finished;
            }
            if reason.still_applies(current_phase, client) && !stream.has_unread_bytes() {
                break reason;
            }
        };
        self.record_end(reason.metric_label(*phase.borrow()));
        // Checked while hyper's connection still holds the open request: dropping it ends the request.
        if matches!(reason, CloseReason::Finished) {
            self.report_unanswered_close(client, stream);
        }
        reason
    }
}
