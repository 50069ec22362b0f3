//! Asynchronous server of the shared counter.

use crate::connection::Connection;
use crate::counter_totals::{CounterCall, CounterTotals};
use crate::server::Server;
use crate::service_mode::ServiceMode;
use crate::traffic::{Traffic, TrafficMeter};
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::sleep;

/// A shared counter with its totals and its present fault mode.
#[derive(Default)]
pub struct Counter {
    totals: RefCell<CounterTotals>,
    mode: Cell<ServiceMode>,
    call_time: Option<Duration>,
    traffic: TrafficMeter,
}

impl Counter {
    /// Creates a counter that waits for `call_time` before each response.
    #[must_use]
    pub fn with_call_time(call_time: Duration) -> Self {
        Counter {
            call_time: Some(call_time),
            ..Counter::default()
        }
    }

    /// Sets how the counter handles calls that arrive from now on.
    pub fn set_mode(&self, mode: ServiceMode) {
        self.mode.set(mode);
    }

    /// The number of calls so far, and the bytes of the calls and their responses.
    pub fn traffic(&self) -> Traffic {
        self.traffic.read()
    }

    /// Starts to serve the counter on a listener.
    ///
    /// # Errors
    ///
    /// Fails if the listener has no address.
    pub fn start(self: Rc<Self>, listener: TcpListener) -> io::Result<Server> {
        Server::start(listener, move |connection| self.clone().serve(connection))
    }

    async fn serve(self: Rc<Self>, mut connection: Connection) -> io::Result<()> {
        while let Some(request) = connection.receive().await? {
            let sent = match self.mode.get() {
                ServiceMode::Available => {
                    if let Some(call_time) = self.call_time {
                        sleep(call_time).await;
                    }
                    self.respond_with_total(&mut connection, request.target())
                        .await?
                }
                ServiceMode::Silent => 0,
                ServiceMode::Closes => return Ok(()),
                ServiceMode::Rejects => connection.respond(503, "", "").await?,
                ServiceMode::Malformed => connection.respond(200, "", "many").await?,
            };
            self.traffic.add_call();
            self.traffic.add_bytes(request.wire_bytes() + sent);
        }
        Ok(())
    }

    async fn respond_with_total(
        &self,
        connection: &mut Connection,
        target: &str,
    ) -> io::Result<usize> {
        let Some(call) = CounterCall::parse(target) else {
            return connection.respond(400, "", "").await;
        };
        let total = self.totals.borrow_mut().add(&call);
        connection.respond(200, "", &total).await
    }
}
