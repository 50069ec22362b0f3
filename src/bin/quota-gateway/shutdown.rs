//! The planned end after SIGTERM. The gateway reports that it is not ready and still accepts clients for a time, then
//! waits for the open requests and fails those that are left before SIGKILL would cut them off.

use crate::driver::Driver;
use crate::metrics::Rule;
use crate::server::Server;
use quota_gateway::Settings;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{watch, Semaphore};
use tokio::task::{yield_now, JoinHandle};
use tokio::time::{sleep, sleep_until, timeout, timeout_at, Instant};

#[cfg(test)]
mod tests;

/// After SIGTERM new clients are accepted for this long: the load balancer in front may not have noticed yet.
const ACCEPT_PERIOD: Duration = Duration::from_millis(600);
/// From this time after SIGTERM only clients with an open request are waited for: others that connected in time have
/// long sent their requests.
const QUIET_PERIOD: Duration = Duration::from_secs(1);
/// SIGKILL follows SIGTERM no sooner than after the longest request deadline, capped at this ...
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// ... plus this.
const KILL_GRACE: Duration = Duration::from_millis(700);
/// This long before SIGKILL the requests still open are failed, so that each gets a response.
const FAILURE_RESERVE: Duration = Duration::from_millis(300);
/// The last responses are written within this time.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_millis(150);
/// Interval at which open requests are checked for.
const BUSY_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Checks in a row that find no open request before the program ends.
const IDLE_CHECKS: u32 = 2;
/// Guards the conversion of a deadline into a `Duration`.
const MAX_DEADLINE_MS: f64 = 86_400_000.0;

/// What the shutdown acts on.
pub struct Shutdown {
    pub server: Rc<Server>,
    pub driver: Rc<Driver>,
    pub acceptor: Acceptor,
    pub client_slots: ClientSlots,
    /// How long after SIGTERM requests may stay open.
    pub open_request_limit: Duration,
}

impl Shutdown {
    /// Returns when the process may exit.
    pub async fn run(mut self) {
        let started_at = Instant::now();
        tracing::info!("SIGTERM: draining");
        self.server.drain();
        sleep(ACCEPT_PERIOD).await;
        // From now on idle connections close, the others after their responses, and nobody listens any more. Other
        // tasks run first to read what has already arrived: the process may have been suspended until now.
        yield_now().await;
        self.acceptor.stop(started_at + self.open_request_limit).await;
        self.wait_for_open_requests(started_at).await;
        if self.server.busy() {
            self.driver.fail_open_requests();
            let _ = timeout(FINAL_WRITE_TIMEOUT, self.client_slots.all_free()).await;
        }
        let unanswered = self.driver.open_request_count();
        if unanswered > 0 {
            self.driver.guard().report(Rule::CloseUnanswered, &format!("{unanswered} at the end"));
        }
        let (waited, violations) = (started_at.elapsed(), self.driver.guard().violations());
        tracing::info!("ended after {waited:?}, {violations} rules broken");
    }

    /// Waits until the last connection has ended, or until no request is open and the quiet period is over: a
    /// connection without a request need not end.
    async fn wait_for_open_requests(&self, started_at: Instant) {
        tokio::select! {
            _ = timeout_at(started_at + self.open_request_limit, self.client_slots.all_free()) => {}
            () = self.until_idle(started_at + QUIET_PERIOD) => {}
        }
    }

    /// Looks twice: after a pause of the whole program, requests that have come are read between the two.
    async fn until_idle(&self, not_before: Instant) {
        sleep_until(not_before).await;
        let mut idle_checks = 0;
        while idle_checks < IDLE_CHECKS {
            sleep(BUSY_CHECK_INTERVAL).await;
            idle_checks = if self.server.busy() { 0 } else { idle_checks + 1 };
        }
    }
}

/// How long after SIGTERM requests may stay open.
pub fn open_request_limit(settings: &Settings) -> Duration {
    let longest_ms = settings.classes.iter().map(|class| class.deadline_ms).fold(0.0, f64::max);
    let longest = Duration::from_secs_f64(longest_ms.clamp(0.0, MAX_DEADLINE_MS) / 1000.0);
    longest.min(MAX_COUNTED_DEADLINE) + KILL_GRACE.saturating_sub(FAILURE_RESERVE)
}

/// The task that accepts clients.
pub struct Acceptor {
    task: JoinHandle<()>,
    close: watch::Sender<bool>,
}

impl Acceptor {
    pub fn spawn(server: Rc<Server>, listener: TcpListener) -> Self {
        let (close, closing) = watch::channel(false);
        let task = tokio::task::spawn_local(server.accept(listener, closing));
        Acceptor { task, close }
    }

    /// Asks the task to end once it has accepted those that have connected, and aborts it at the deadline: accepting
    /// may fail for a while.
    async fn stop(&mut self, deadline: Instant) {
        let _ = self.close.send(true);
        if timeout_at(deadline, &mut self.task).await.is_err() {
            self.task.abort();
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
        ClientSlots { semaphore: Arc::new(Semaphore::new(total as usize)), total }
    }

    pub fn semaphore(&self) -> Arc<Semaphore> {
        self.semaphore.clone()
    }

    /// Returns when the last connection has ended.
    async fn all_free(&self) {
        let _ = self.semaphore.acquire_many(self.total).await;
    }
}
