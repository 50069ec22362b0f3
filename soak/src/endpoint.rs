//! The stand-ins for endpoints.

use crate::fleet::{Behaviour, ListedState};
use crate::http::{Connection, Message};
use crate::judge::{answer_body, SeenAttempt};
use crate::loopback::any_port;
use crate::world::World;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, Instant};

/// Time that a request takes.
const SERVICE_MS: std::ops::Range<u64> = 3..25;
/// A request that nobody answers is held for this long.
const HANG_TIME: Duration = Duration::from_secs(20);

/// A running endpoint.
pub struct RunningEndpoint {
    accepting: JoinHandle<()>,
    connections: Rc<std::cell::RefCell<Vec<JoinHandle<()>>>>,
}

impl RunningEndpoint {
    /// Starts an endpoint and puts it into the list.
    pub async fn start(world: &Rc<World>, is_cold: bool) -> io::Result<(usize, Self)> {
        let listener = TcpListener::bind(any_port()).await?;
        let number = world
            .fleet
            .borrow_mut()
            .add(listener.local_addr()?, is_cold);
        let connections = Rc::new(std::cell::RefCell::new(Vec::new()));
        let accepting = spawn_local(accept(world.clone(), number, listener, connections.clone()));
        Ok((
            number,
            RunningEndpoint {
                accepting,
                connections,
            },
        ))
    }

    /// Ends the process: its connections break, and new ones are refused.
    pub fn stop(self) {
        self.accepting.abort();
        for connection in self.connections.borrow().iter() {
            connection.abort();
        }
    }
}

async fn accept(
    world: Rc<World>,
    number: usize,
    listener: TcpListener,
    connections: Rc<std::cell::RefCell<Vec<JoinHandle<()>>>>,
) {
    let mut rng = crate::stream(world.seed, "endpoint", number as u64);
    while let Ok((stream, _)) = listener.accept().await {
        let service = Service {
            world: world.clone(),
            number,
            rng: crate::stream(rng.random(), "service", 0),
        };
        let task = spawn_local(async move {
            // Connections break as part of the test.
            let _ = service.serve(Connection::new(stream)).await;
        });
        let mut connections = connections.borrow_mut();
        connections.retain(|connection| !connection.is_finished());
        connections.push(task);
    }
}

struct Service {
    world: Rc<World>,
    number: usize,
    rng: ChaCha8Rng,
}

impl Service {
    async fn serve(mut self, mut connection: Connection) -> io::Result<()> {
        while let Some(request) = connection.receive().await? {
            let Some(transaction) = self.record_attempt(&request) else {
                connection.respond(404, "", "").await?;
                continue;
            };
            let behaviour = self.behaviour();
            if behaviour == Behaviour::TurnsAway {
                connection.respond(503, "X-Turned-Away: 1\r\n", "").await?;
                continue;
            }
            let is_first = self
                .world
                .judge
                .borrow_mut()
                .executed(transaction, self.number);
            sleep(Duration::from_millis(self.rng.random_range(SERVICE_MS))).await;
            let body = answer_body(transaction);
            let charged = "X-Units-Charged: 1\r\n";
            match behaviour {
                _ if !is_first => connection.respond(200, charged, &body).await?,
                Behaviour::Serves | Behaviour::TurnsAway => {
                    connection.respond(200, charged, &body).await?;
                }
                Behaviour::Hangs => {
                    sleep(HANG_TIME).await;
                    return Ok(());
                }
                Behaviour::Resets => {
                    connection.reset();
                    return Ok(());
                }
                Behaviour::Garbles => connection.send(b"\x01\x02 this is no HTTP\r\n\r\n").await?,
                Behaviour::OmitsLength => {
                    connection
                        .send(format!("HTTP/1.1 200 OK\r\n{charged}\r\n{body}").as_bytes())
                        .await?;
                    return connection.finish().await;
                }
                Behaviour::Repeats => {
                    connection.respond(200, charged, &body).await?;
                    connection.respond(200, charged, &body).await?;
                }
                Behaviour::Closes => {
                    connection.respond(200, charged, &body).await?;
                    return connection.finish().await;
                }
            }
        }
        Ok(())
    }

    /// How this request is treated: as the endpoint behaves now, but for the few that hang in any case.
    fn behaviour(&mut self) -> Behaviour {
        if self.rng.random_range(0..100) < self.world.conditions.hanging_percent {
            return Behaviour::Hangs;
        }
        self.world.fleet.borrow().endpoints[self.number].behaviour
    }

    /// Hands what came to the judge. Returns the request's id.
    fn record_attempt(&self, request: &Message) -> Option<u64> {
        let transaction = u64::from_str_radix(request.header("x-txn")?, 16).ok()?;
        let propagated_ms = request.header("x-remaining-ms")?.parse().ok()?;
        let world = &self.world;
        let fleet = world.fleet.borrow();
        let endpoint = &fleet.endpoints[self.number];
        let gateway = world.judge.borrow().gateway_of(transaction);
        let drain_notified_at = endpoint
            .listed_state
            .since()
            .and_then(|at| world.notified_at(gateway?, at));
        world.judge.borrow_mut().attempt(SeenAttempt {
            transaction,
            endpoint: self.number,
            began_at: request.began_at,
            propagated_deadline: Duration::from_millis(propagated_ms),
            drain_notified_at,
            started_at: endpoint
                .started_at
                .filter(|_| endpoint.listed_state == ListedState::Ready),
            lag: world.lag.allowance(),
        });
        Some(transaction)
    }
}

/// Sets how endpoints behave for a time.
pub async fn behave(
    world: &Rc<World>,
    endpoints: &[usize],
    behaviour: Behaviour,
    how_long: Duration,
) {
    let set = |behaviour| {
        let mut fleet = world.fleet.borrow_mut();
        for endpoint in endpoints {
            fleet.endpoints[*endpoint].behaviour = behaviour;
        }
    };
    set(behaviour);
    sleep(how_long).await;
    set(Behaviour::Serves);
}

/// Time after which an endpoint that drains ends, longer than the grace after the notice.
const DRAIN_TIME: Duration = Duration::from_secs(4);
/// The same where the notice may take 6 s.
const POLLED_DRAIN_TIME: Duration = Duration::from_secs(10);

/// Replaces an endpoint by a new one: it drains and ends, or vanishes at once.
pub async fn replace(
    world: &Rc<World>,
    number: usize,
    running: RunningEndpoint,
    drains: bool,
) -> Option<(usize, RunningEndpoint)> {
    if drains {
        world
            .fleet
            .borrow_mut()
            .set_listed_state(number, ListedState::Draining(Instant::now()));
        world.list_changes();
        sleep(if world.is_polled {
            POLLED_DRAIN_TIME
        } else {
            DRAIN_TIME
        })
        .await;
    }
    let since = world.fleet.borrow().endpoints[number]
        .listed_state
        .since()
        .unwrap_or_else(Instant::now);
    running.stop();
    world
        .fleet
        .borrow_mut()
        .set_listed_state(number, ListedState::Gone(since));
    let new = RunningEndpoint::start(world, true).await.ok();
    world.list_changes();
    new
}
