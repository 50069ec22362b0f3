//! The task of one queue of calls, which opens a connection when a call is waiting and no connection is open.

use super::client::IncrementCall;
use super::connection::{CounterConnection, CounterContext};
use crate::socket::Socket;
use quota_gateway::Outcome;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc::Receiver;
use tokio::sync::watch;
use tokio::time::timeout;

/// Serves a queue until its sender is dropped. A change of the address takes effect at once.
pub async fn run(
    mut addr: watch::Receiver<SocketAddr>,
    mut queue: Receiver<IncrementCall>,
    context: Rc<CounterContext>,
) {
    while let Some(first_call) = queue.recv().await {
        let current_addr = *addr.borrow_and_update();
        let connecting = Socket::connect(current_addr);
        let Ok(Ok(socket)) = timeout(context.call_timeout, connecting).await else {
            fail_waiting_calls(&first_call, &mut queue, &context);
            continue;
        };
        let mut connection = CounterConnection::new(socket, current_addr, context.clone());
        connection.enqueue(&first_call);
        tokio::select! {
            () = connection.serve(Some(&mut queue)) => connection.close(),
            // Calls in flight still receive their responses from the old address, and new calls do not wait for them.
            // The spawned task ends after the last response, or once the old address has not responded for too long.
            Ok(()) = addr.changed() => drop(tokio::task::spawn_local(connection.finish())),
        }
    }
}

/// Reports that no amount was added for any of the waiting calls, because connecting failed.
fn fail_waiting_calls(
    first_call: &IncrementCall,
    queue: &mut Receiver<IncrementCall>,
    context: &CounterContext,
) {
    context
        .reporter
        .report(first_call, Outcome::ConnectFailed, 0.0);
    while let Ok(call) = queue.try_recv() {
        context.reporter.report(&call, Outcome::ConnectFailed, 0.0);
    }
}
