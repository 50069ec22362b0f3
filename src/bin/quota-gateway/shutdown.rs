//! The planned end after SIGTERM: moves the lifecycle through its phases, and returns when the process may exit.

use crate::driver::Driver;
use crate::lifecycle::{Lifecycle, Phase, Timeline, CLOSING_TIME};
use crate::metrics::Rule;
use crate::server::Server;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::task::{yield_now, JoinHandle};
use tokio::time::{sleep, sleep_until, timeout, timeout_at, Instant};

/// Interval at which open requests are checked for.
const BUSY_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Checks in a row that find no open request before the shutdown ends early.
const IDLE_CHECKS: u32 = 2;
/// If the process stalled until after its time for closing, what came meanwhile is read and answered within this.
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
            refusing_after = ?timeline.refusing_at - terminated_at,
            "SIGTERM: draining, {} connections, {} busy",
            self.server.connection_count(),
            self.server.busy_count()
        );
        self.lifecycle.begin_shutdown(timeline);
        sleep_until(timeline.no_new_connections_at).await;
        // Other tasks run first to read what has already arrived: the process may have stalled until now.
        yield_now().await;
        self.enter(Phase::NoNewConnections);
        self.wait_for_open_requests(&timeline).await;
        self.enter(Phase::Refusing);
        // Complete, as the set of open requests can't grow any more: what comes from now on is refused.
        self.driver.end_open_requests();
        self.wait_for_connections().await;
        self.enter(Phase::Ended);
        self.report_unanswered();
        let (waited, violations) = (
            terminated_at.elapsed(),
            self.driver.rule_checker().violations(),
        );
        tracing::info!("ended after {waited:?}, {violations} rules broken");
    }

    fn enter(&self, phase: Phase) {
        self.lifecycle.advance_to(phase);
        let (connections, busy) = (self.server.connection_count(), self.server.busy_count());
        tracing::info!("shutdown: {phase:?}, {connections} connections, {busy} busy");
    }

    /// Waits until those that had connected are accepted, and then until the last connection has ended or no request is
    /// open and it has been quiet for long enough; at most until requests have to be refused.
    async fn wait_for_open_requests(&mut self, timeline: &Timeline) {
        let settled = async {
            self.acceptor.ended().await;
            tokio::select! {
                () = self.client_slots.all_free() => {}
                () = until_idle(&self.server, timeline.quiet_from) => {}
            }
        };
        let _ = timeout_at(timeline.refusing_at, settled).await;
    }

    /// Waits until all connections have ended, for as long as there is time.
    async fn wait_for_connections(&mut self) {
        if timeout(CLOSING_TIME, self.all_connections_ended())
            .await
            .is_err()
        {
            let _ = timeout(LAST_READ_TIME, self.all_connections_ended()).await;
        }
    }

    async fn all_connections_ended(&mut self) {
        self.acceptor.ended().await;
        self.client_slots.all_free().await;
    }

    fn report_unanswered(&self) {
        for transaction_id in self.server.unanswered_transactions() {
            let what = format!("txn {transaction_id:016x} at the end of the process");
            self.driver
                .rule_checker()
                .report(Rule::CloseUnanswered, &what);
        }
    }
}

/// Looks twice: after a stall of the process, requests that have come are read between the two.
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

/// The task that accepts clients. It ends by itself once those that had connected before `NoNewConnections` are
/// accepted.
pub struct Acceptor {
    task: Option<JoinHandle<()>>,
}

impl Acceptor {
    pub fn spawn(server: Rc<Server>, listener: TcpListener) -> Self {
        Acceptor {
            task: Some(tokio::task::spawn_local(server.accept(listener))),
        }
    }

    async fn ended(&mut self) {
        if let Some(task) = &mut self.task {
            let _ = task.await;
            self.task = None;
        }
    }
}

/// The places for clients' connections.
pub struct ClientSlots {
    semaphore: Arc<Semaphore>,
    total: u32,
}

impl ClientSlots {
    pub fn new(total: u32) -> Self {
        ClientSlots {
            semaphore: Arc::new(Semaphore::new(total as usize)),
            total,
        }
    }

    pub fn semaphore(&self) -> Arc<Semaphore> {
        self.semaphore.clone()
    }

    /// Returns when the last connection has ended.
    async fn all_free(&self) {
        let _ = self.semaphore.acquire_many(self.total).await;
    }
}
