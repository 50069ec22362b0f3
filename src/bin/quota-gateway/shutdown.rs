//! The graceful shutdown after SIGTERM: advances the lifecycle through its phases, and returns when the process may
//! exit.
//!
//! Guards against requests that are lost when the process exits: a client has sent a request, and its connection closes
//! without a response. The client can't know whether the request was executed. The usual cause is a stall of the
//! process at a bad time: timers are due when the process resumes, while requests that arrived during the stall are
//! still unread in the sockets. So no step acts on a timer alone; each step first lets the tasks of the connections
//! read what has arrived.

use crate::driver::Driver;
use crate::lifecycle::{Lifecycle, Phase, Timeline, CLOSING_TIME};
use crate::metrics::Rule;
use crate::server::{Acceptor, ClientSlots, Server};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::{sleep, sleep_until, timeout, timeout_at, Instant};

/// Interval at which the shutdown checks for busy clients.
const BUSY_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Number of consecutive checks that must find no busy client before the process exits early.
const IDLE_CHECKS: u32 = 2;
/// Additional time in which requests are read and answered that arrived during a stall of all of `CLOSING_TIME`.
/// `lifecycle::timeline` does not plan for it.
const LAST_READ_TIME: Duration = Duration::from_millis(10);

/// The parts of the gateway that the shutdown controls.
pub struct Shutdown {
    pub lifecycle: Rc<Lifecycle>,
    pub server: Rc<Server>,
    pub driver: Rc<Driver>,
    pub acceptor: Acceptor,
    pub client_slots: ClientSlots,
    /// Longest time that a client waits for a response, over all classes.
    pub longest_deadline: Duration,
}

impl Shutdown {
    /// Runs the shutdown. Returns when the process may exit.
    pub async fn run(mut self) {
        let terminated_at = Instant::now();
        let timeline = Timeline::new(terminated_at, self.longest_deadline);
        tracing::info!(
            connections = self.server.connection_count(),
            busy = self.server.busy_count(),
            refusing_after = ?timeline.refusing_at - terminated_at,
            "SIGTERM: draining"
        );
        self.lifecycle.begin_shutdown(timeline);
        sleep_until(timeline.no_new_connections_at).await;
        // Guards against a stall before this point: requests that arrived during the stall are unread, and the next
        // phase closes idle connections. Yielding lets all ready tasks run first and read these requests.
        yield_now().await;
        self.enter(Phase::NoNewConnections);
        self.wait_for_open_requests(&timeline).await;
        self.enter(Phase::Refusing);
        // A request forwarded after this would get no response. No request can be forwarded, because `Refusing` forbids
        // it.
        self.driver.end_open_requests();
        self.wait_for_connections().await;
        self.enter(Phase::Ended);
        self.report_unanswered();
        tracing::info!(
            elapsed = ?terminated_at.elapsed(),
            rule_violations = self.driver.rule_checker().violations(),
            "shutdown complete"
        );
    }

    fn enter(&self, phase: Phase) {
        self.lifecycle.advance_to(phase);
        tracing::info!(
            ?phase,
            connections = self.server.connection_count(),
            busy = self.server.busy_count(),
            "shutdown phase entered"
        );
    }

    /// Waits until all clients that had connected are accepted, and then until the last connection has closed or, from
    /// `idle_exit_from` on, no client is busy. Returns at `refusing_at` at the latest. Before the acceptor has ended,
    /// connections may still be in the listener's queue even if all slots are free and no client is busy.
    async fn wait_for_open_requests(&mut self, timeline: &Timeline) {
        let drained = async {
            self.acceptor.wait_until_ended().await;
            tokio::select! {
                () = self.client_slots.wait_until_all_free() => {}
                () = wait_until_idle(&self.server, timeline.idle_exit_from) => {}
            }
        };
        let _ = timeout_at(timeline.refusing_at, drained).await;
    }

    /// Waits until all connections have closed, as long as time is left.
    ///
    /// Guards against a stall of all of `CLOSING_TIME`: the timeout is due when the process resumes, and requests that
    /// arrived during the stall would be dropped unread. An additional `LAST_READ_TIME` lets the connections read and
    /// refuse them.
    async fn wait_for_connections(&mut self) {
        if timeout(CLOSING_TIME, self.wait_until_all_connections_ended())
            .await
            .is_err()
        {
            let _ = timeout(LAST_READ_TIME, self.wait_until_all_connections_ended()).await;
        }
    }

    /// Returns when the last connection has closed. Waits for the acceptor first: while the acceptor runs, a connection
    /// may still be in the listener's queue although all slots are free.
    async fn wait_until_all_connections_ended(&mut self) {
        self.acceptor.wait_until_ended().await;
        self.client_slots.wait_until_all_free().await;
    }

    fn report_unanswered(&self) {
        for transaction_id in self.server.unanswered_transactions() {
            let subject = format_args!("txn {transaction_id:016x} at the end of the process");
            self.driver
                .rule_checker()
                .report(Rule::CloseUnanswered, subject);
        }
    }
}

/// Waits until no client is busy, but at least until `not_before`.
///
/// Guards against an exit right after a stall: requests that arrived during the stall are unread in the sockets, so
/// their clients do not count as busy yet, and the requests would be lost. Between two checks the connections read what
/// has arrived, so the second check finds these clients busy.
async fn wait_until_idle(server: &Server, not_before: Instant) {
    sleep_until(not_before).await;
    let mut idle_checks = 0;
    while idle_checks < IDLE_CHECKS {
        sleep(BUSY_CHECK_INTERVAL).await;
        idle_checks = if server.busy_count() > 0 {
            0
        } else {
            idle_checks + 1
        };
    }
}
