//! Serves one client's connection with hyper's HTTP/1.1 implementation, from the first byte to the close.
//!
//! - `close_reason`: the reasons why the gateway closes the connection
//! - `head_timer`: the time limit for the head of the next request
//! - `linger`: the lingering close after the last response

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

/// Maximum size of a request's head.
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
            // A client may have sent a request while the process was stalled. If the client were evicted as idle before
            // the request is read, the connection would be closed without a response. Yielding makes the runtime poll
            // the sockets, and polling the connection reads the bytes that have arrived. Only then is the client's
            // state checked.
            yield_now().await;
            let ended = poll_fn(|cx| Poll::Ready(connection.as_mut().poll(cx).is_ready())).await;
            if ended {
                return;
            }
            if !client.awaits_response() {
                return self.record_end(ConnectionEnd::Evicted);
            }
        }
    }

    fn record_end(&self, end: ConnectionEnd) {
        self.driver.metrics().connections_ended.increment(end);
        tracing::debug!(reason = %end, "client connection closed");
    }

    /// Reports a connection that ended while a complete request had no response, unless the client disconnected.
    fn report_unanswered_close(&self, client: &Client, stream: &ClientStream) {
        if client.is_being_served() && !stream.has_disconnected() {
            self.driver.rule_checker().report(
                Rule::CloseUnanswered,
                "the connection ended before the response",
            );
        }
    }

    async fn serve_connection(&self, socket: Socket, client: &Rc<Client>) {
        let stream = ClientStream::new(socket, client.clone(), self.read_ahead.clone());
        let reason = self.serve_requests(&stream, client).await;
        if matches!(reason, CloseReason::PartialRequest) {
            // An error means that the connection is broken, so that no response is needed.
            let _ = stream
                .socket()
                .write_all(response::incomplete_at_shutdown().as_bytes())
                .await;
        }
        client.on_connection_ended();
        if client.is_request_given_up() {
            return;
        }
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
                let hyper_ended = connection.poll_without_shutdown(cx).is_ready();
                poll_close_reason(
                    hyper_ended,
                    current_phase,
                    stream,
                    client,
                    &mut head_timer,
                    cx,
                )
            });
            let reason = tokio::select! {
                // The connection is polled first, so that bytes that have arrived are read before it counts as idle.
                biased;
                reason = close_reason => reason,
                // `changed` fails only after the lifecycle was dropped.
                Ok(()) = phase.changed() => continue,
            };
            if !reason.is_revocable() {
                break reason;
            }
            // Guards against closing a connection with an unread request that arrived at the time of the timeout or of
            // the shutdown, usually during a stall of the process. The client would observe a close or a reset without
            // a response. Yielding makes the runtime poll the sockets, polling the connection reads the bytes that have
            // arrived, and the peek asks the system for bytes that arrived since. Nothing is awaited between the peek
            // and the decision to close.
            yield_now().await;
            if poll_fn(|cx| Poll::Ready(connection.poll_without_shutdown(cx).is_ready())).await {
                break CloseReason::Finished;
            }
            if reason.still_applies(current_phase, client) && !stream.has_unread_bytes() {
                break reason;
            }
        };
        self.record_end(reason.metric_label(*phase.borrow()));
        // The check has to run while hyper's connection still holds the open request, because dropping the connection
        // ends the request.
        if matches!(reason, CloseReason::Finished) {
            self.report_unanswered_close(client, stream);
        }
        reason
    }
}
