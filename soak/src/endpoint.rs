//! Endpoints that execute requests and report the attempts that they receive to the rule checker.

use crate::fleet::Fleet;
use crate::loopback::any_port;
use crate::notices::NoticeTimes;
use crate::rules::{response_body, ObservedAttempt, SharedRuleChecker};
use crate::scheduling_delay::SchedulingDelay;
use crate::settings::RunSettings;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use stand_ins::connection::Connection;
use stand_ins::endpoint::{answer, Behaviour, Response};
use stand_ins::endpoint_list::EntryState;
use stand_ins::message::Message;
use stand_ins::server::Server;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::sleep;

/// Execution time of a request.
const SERVICE_TIME_MS: std::ops::Range<u64> = 3..25;
/// Time for which an endpoint drains before it ends. Longer than the grace period after the notice of draining.
const DRAIN_TIME: Duration = Duration::from_secs(4);
/// The drain time if lists are polled, as the notice may then take 6 s.
const POLLED_DRAIN_TIME: Duration = Duration::from_secs(10);

/// The state of a run that endpoints share.
pub struct EndpointContext {
    /// The settings of the run.
    pub settings: RunSettings,
    /// Checks the attempts that endpoints receive.
    pub checker: SharedRuleChecker,
    /// All endpoints.
    pub fleet: Fleet,
    /// The times at which gateways count as notified of changes.
    pub notices: Rc<NoticeTimes>,
    /// The scheduling delay of this process.
    pub delay: SchedulingDelay,
}

/// A running endpoint.
pub struct RunningEndpoint {
    server: Server,
}

impl RunningEndpoint {
    /// Starts an endpoint and adds it to the endpoint list. Returns its number and the endpoint.
    pub async fn start(
        context: &Rc<EndpointContext>,
        is_warming_up: bool,
    ) -> io::Result<(usize, Self)> {
        let listener = TcpListener::bind(any_port()).await?;
        let number = context.fleet.add(listener.local_addr()?, is_warming_up);
        let mut rng = crate::seeded_rng(context.settings.seed, "endpoint", number as u64);
        let context = context.clone();
        let server = Server::start(listener, move |connection| {
            let session = Session {
                context: context.clone(),
                number,
                rng: crate::seeded_rng(rng.random(), "service", 0),
                connection,
            };
            session.serve()
        })?;
        Ok((number, RunningEndpoint { server }))
    }

    /// Stops the endpoint: its connections break, and new ones are refused.
    pub fn stop(self) {
        self.server.stop();
    }
}

/// One connection of an endpoint.
struct Session {
    context: Rc<EndpointContext>,
    number: usize,
    rng: ChaCha8Rng,
    connection: Connection,
}

impl Session {
    async fn serve(mut self) -> io::Result<()> {
        while let Some(request) = self.connection.receive().await? {
            let Some(transaction) = self.record_attempt(&request) else {
                self.connection.respond(404, "", "").await?;
                continue;
            };
            let behaviour = self.draw_behaviour();
            let body = response_body(transaction);
            let response = Response {
                headers: "X-Units-Charged: 1\r\n",
                body: &body,
            };
            let behaviour = match behaviour {
                Behaviour::Rejects => behaviour,
                _ => self.execute(transaction, behaviour).await,
            };
            let next = answer(&mut self.connection, behaviour, response).await?;
            if next.is_break() {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Executes a request unless its idempotency key is known. Returns the behaviour for the response: a request
    /// whose key is known gets the response of the first execution, whatever the endpoint's behaviour.
    async fn execute(&mut self, transaction: u64, behaviour: Behaviour) -> Behaviour {
        let is_first = self.record_execution(transaction);
        sleep(Duration::from_millis(
            self.rng.random_range(SERVICE_TIME_MS),
        ))
        .await;
        if is_first {
            behaviour
        } else {
            Behaviour::Serves
        }
    }

    /// Draws the behaviour for a request: the current behaviour of the endpoint, except for the share of requests that
    /// hang in any case.
    fn draw_behaviour(&mut self) -> Behaviour {
        if self.rng.random_range(0..100) < self.context.settings.scenario.hanging_percent {
            return Behaviour::Hangs;
        }
        self.context.fleet.state(self.number).behaviour
    }

    /// Reports an execution to the checker. Returns false if the request's key is known.
    fn record_execution(&self, transaction: u64) -> bool {
        let mut checker = self.context.checker.borrow_mut();
        checker.execution_started(transaction, self.number)
    }

    /// Reports an attempt to the checker. Returns the id of the request, or `None` if a header is missing or invalid.
    fn record_attempt(&self, request: &Message) -> Option<u64> {
        let transaction = u64::from_str_radix(request.header("x-txn")?, 16).ok()?;
        let propagated_ms = request.header("x-remaining-ms")?.parse().ok()?;
        let context = &self.context;
        let endpoint = context.fleet.state(self.number);
        let gateway = context.checker.borrow().gateway_of(transaction);
        let drain_notified_at = endpoint
            .unavailable_since
            .and_then(|at| context.notices.notified_at(gateway?, at));
        context
            .checker
            .borrow_mut()
            .attempt_received(ObservedAttempt {
                transaction,
                endpoint: self.number,
                began_at: self.connection.first_byte_at(),
                propagated_deadline: Duration::from_millis(propagated_ms),
                drain_notified_at,
                started_at: endpoint
                    .started_at
                    .filter(|_| endpoint.listed_state == EntryState::Ready),
                allowance: context.delay.allowance(),
            });
        Some(transaction)
    }
}

/// Sets the behaviour of endpoints for `duration`. Afterwards the endpoints serve requests normally.
pub async fn misbehave(
    context: &EndpointContext,
    endpoints: &[usize],
    behaviour: Behaviour,
    duration: Duration,
) {
    context.fleet.set_behaviour(endpoints, behaviour);
    sleep(duration).await;
    context.fleet.set_behaviour(endpoints, Behaviour::Serves);
}

/// Replaces an endpoint by a new one. The old endpoint drains first if `drains` is true, or ends without notice
/// otherwise. Returns the new endpoint and its number, or `None` if the new endpoint can't be started.
pub async fn replace(
    context: &Rc<EndpointContext>,
    number: usize,
    running: RunningEndpoint,
    drains: bool,
) -> Option<(usize, RunningEndpoint)> {
    let fleet = &context.fleet;
    if drains {
        fleet.drain(number);
        fleet.publish();
        sleep(drain_time(context.settings)).await;
    }
    running.stop();
    fleet.remove(number);
    let new = RunningEndpoint::start(context, true).await.ok();
    fleet.publish();
    new
}

fn drain_time(settings: RunSettings) -> Duration {
    if settings.is_polled {
        POLLED_DRAIN_TIME
    } else {
        DRAIN_TIME
    }
}
