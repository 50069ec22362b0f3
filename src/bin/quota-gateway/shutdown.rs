//! The graceful shutdown after SIGTERM: moves the lifecycle through its phases, and returns when the process may exit.
//!
//! It guards against requests that are lost at the exit: a client has sent one, and its connection closes without a
//! response. The client can't know whether it was executed. A stall of the process at the wrong moment is the usual
//! cause: timers are due when the process goes on, while requests that arrived meanwhile are still in the sockets. So no
//! step acts on a timer alone; each first lets the tasks of the connections read what has arrived.

use crate::driver::Driver;
use crate::lifecycle::{Lifecycle, Phase, Timeline, CLOSING_TIME};
use crate::metrics::Rule;
use crate::server::{Acceptor, ClientSlots, Server};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::{sleep, sleep_until, timeout, timeout_at, Instant};

/// Interval at which open requests are checked for.
const BUSY_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Checks in a row that have to find no busy client before the process exits early.
const IDLE_CHECKS: u32 = 2;
/// After a stall that took the time for closing connections, requests that arrived in it are read and answered within
/// this time. `lifecycle::timeline` does not plan for it.
const LAST_READ_TIME: Duration = Duration::from_millis(10);

/// What the shutdown acts on.
pub struct Shutdown {
    pub lifecycle: Rc<Lifecycle>,
    pub server: Rc<Server>,
    pub driver: Rc<Driver>,
    pub acceptor: Acceptor,
    pub client_slots: ClientSlots,
    /// Longest time that a client waits, over all classes.
    pub longest_deadline: Duration,
}

impl Shutdown {
    /// Returns when the process may exit.
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
        // Guards against a stall until now: requests that arrived in it are unread, and the next phase closes connections
        // that are idle. All tasks that are ready run first, and read them.
        yield_now().await;
        self.enter(Phase::NoNewConnections);
        self.wait_for_open_requests(&timeline).await;
        self.enter(Phase::Refusing);
        // A request forwarded after this would have no response. None can be: `Refusing` is entered, which forbids it.
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
    /// `idle_exit_from` on, no client is busy; at most until requests have to be refused. Before the acceptor has ended,
    /// free slots and the lack of busy clients say nothing of the connections in the listener's queue.
    async fn wait_for_open_requests(&mut self, timeline: &Timeline) {
        let drained = async {
            self.acceptor.ended().await;
            tokio::select! {
                () = self.client_slots.all_free() => {}
                () = until_idle(&self.server, timeline.idle_exit_from) => {}
            }
        };
        let _ = timeout_at(timeline.refusing_at, drained).await;
    }

    /// Waits until all connections have closed, for as long as there is time.
    ///
    /// Guards against a stall for all of `CLOSING_TIME`: the time-out is due when the process goes on, and requests that
    /// arrived in the stall would be dropped unread. `LAST_READ_TIME` more lets the connections read and refuse them.
    async fn wait_for_connections(&mut self) {
        if timeout(CLOSING_TIME, self.all_connections_ended())
            .await
            .is_err()
        {
            let _ = timeout(LAST_READ_TIME, self.all_connections_ended()).await;
        }
    }

    /// Returns when the last connection has closed. The acceptor comes first: while it runs, all slots may be free
    /// though a connection is still in the listener's queue.
    async fn all_connections_ended(&mut self) {
        self.acceptor.ended().await;
        self.client_slots.all_free().await;
    }

    fn report_unanswered(&self) {
        for transaction_id in self.server.unanswered_transactions() {
            let what = format_args!("txn {transaction_id:016x} at the end of the process");
            self.driver
                .rule_checker()
                .report(Rule::CloseUnanswered, what);
        }
    }
}

/// Waits until no client is busy, but not before a time.
///
/// Guards against an exit right after a stall: requests that arrived in it are in the sockets, their clients do not count
/// as busy yet, and they would be lost. Between two checks the connections read what has arrived, so that the second one
/// finds these clients busy.
async fn until_idle(server: &Server, not_before: Instant) {
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
