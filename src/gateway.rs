//! The entry point of the library: events in, actions out. Their types are in `src/api`, the decisions in `src/policy`.

use crate::api::{Action, EndpointId, Event, Millis, Settings};
use crate::policy::{forwarding::Forwarder, poll_retry::PollRetry};
use crate::state::{ChargeReply, Context, OpenRequests, Timer};

/// Time between two runs of the periodic housekeeping, in ms.
const TICK_MS: f64 = 1000.0;

/// The decisions of one gateway.
pub struct Gateway {
    settings: Settings,
    rng: fastrand::Rng,
    started: bool,
    poll_retry: PollRetry,
    requests: OpenRequests,
    forwarder: Forwarder,
}

impl Gateway {
    /// A gateway that starts now and knows its settings alone.
    #[must_use]
    pub fn new(settings: Settings, seed: u64, now: Millis) -> Self {
        Gateway {
            forwarder: Forwarder::new(&settings, now),
            settings,
            rng: fastrand::Rng::with_seed(seed),
            started: false,
            poll_retry: PollRetry::default(),
            requests: OpenRequests::default(),
        }
    }

    /// The number of customers remembered now.
    #[must_use]
    pub fn customer_count(&self) -> usize {
        self.forwarder.quota.customers.len()
    }

    /// The endpoints that this gateway sends to at present.
    pub fn subset(&mut self) -> &[EndpointId] {
        self.forwarder.load_balancer.subset()
    }

    /// Takes in one event and appends what is to be done.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        let cx = &mut Context {
            now,
            settings: &self.settings,
            rng: &mut self.rng,
            actions,
        };
        let forwarder = &mut self.forwarder;
        let requests = &mut self.requests;
        if !std::mem::replace(&mut self.started, true) {
            start(cx);
        }
        match event {
            Event::EndpointUpdate {
                complete,
                endpoints,
            } => {
                forwarder
                    .load_balancer
                    .update_endpoints(cx, complete, endpoints);
            }
            Event::EndpointPollFailed => self.poll_retry.poll_failed(now, cx.rng),
            Event::Request(request) if requests.contains(request.id) => {}
            Event::Request(request) => {
                if let Some(open) = forwarder.request_arrived(cx, request) {
                    requests.insert(open);
                }
            }
            Event::ResponseStarted { id } => requests.update(id, |open| open.streaming = true),
            Event::AttemptEnded(end) => {
                requests.update(end.id, |open| forwarder.attempt_ended(cx, open, &end));
            }
            Event::ClientDisconnected { id } => {
                requests.update(id, |open| forwarder.client_disconnected(cx, open));
            }
            Event::TimerFired { token } => match Timer::from_token(token) {
                Timer::Housekeeping => keep_house(cx, forwarder, &mut self.poll_retry),
                Timer::CounterWait(id) => {
                    requests.update(id, |open| forwarder.counter_wait_expired(cx, open));
                }
                Timer::Gossip => forwarder.quota.gossip.send(cx),
            },
            Event::CounterReply {
                key,
                outcome,
                total,
                elapsed_ms,
            } => {
                let reply = ChargeReply {
                    key,
                    outcome,
                    total,
                    elapsed_ms,
                };
                if let Some(id) = forwarder.quota.counter_replied(cx, &reply) {
                    requests.update(id, |open| forwarder.counter_replied(cx, open));
                }
            }
            Event::Gossip { from, body } => forwarder.quota.receive_gossip(cx, from, &body),
        }
    }
}

/// The first event of a process: starts the housekeeping, and the watch where the endpoint list is polled.
fn start(cx: &mut Context) {
    cx.set_timer(Timer::Housekeeping, TICK_MS);
    if cx.settings.endpoints_polled {
        cx.actions.push(Action::WatchEndpoints);
    }
}

/// The periodic housekeeping, and a retry of a failed poll of the endpoint list where one is due.
fn keep_house(cx: &mut Context, forwarder: &mut Forwarder, poll_retry: &mut PollRetry) {
    cx.set_timer(Timer::Housekeeping, TICK_MS);
    if poll_retry.take_due(cx.now) {
        cx.actions.push(Action::WatchEndpoints);
    }
    forwarder.tick(cx);
}
