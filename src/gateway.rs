//! The entry point of the library: events in, actions out. Their types are in `src/api`, the decisions in `src/policy`.

use crate::api::{Action, EndpointId, Event, Millis, Settings};
use crate::policy::{poll_retry::PollRetry, request_handler::RequestHandler};
use crate::state::{ChargeReply, Context, OpenRequests, Timer};

/// Time between two runs of the periodic housekeeping, in ms.
const HOUSEKEEPING_INTERVAL_MS: Millis = 1000.0;

/// The decisions of one gateway.
pub struct Gateway {
    settings: Settings,
    rng: fastrand::Rng,
    /// It has taken in its first event.
    started: bool,
    poll_retry: PollRetry,
    requests: OpenRequests,
    handler: RequestHandler,
}

impl Gateway {
    /// A gateway that starts now and knows only its settings. The same seed and events lead to the same actions.
    #[must_use]
    pub fn new(settings: Settings, seed: u64, now: Millis) -> Self {
        Gateway {
            handler: RequestHandler::new(&settings, now),
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
        self.handler.quota.customers.len()
    }

    /// The subset of the endpoints that this gateway chooses from first, brought up to date, sorted by id.
    pub fn subset(&mut self) -> &[EndpointId] {
        self.handler.forwarder.load_balancer.update_subset()
    }

    /// Takes in one event and appends what is to be done.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        let cx = &mut Context {
            now,
            settings: &self.settings,
            rng: &mut self.rng,
            actions,
        };
        let handler = &mut self.handler;
        let requests = &mut self.requests;
        if !std::mem::replace(&mut self.started, true) {
            start(cx);
        }
        match event {
            Event::EndpointUpdate {
                complete,
                endpoints,
            } => {
                handler
                    .forwarder
                    .load_balancer
                    .update_endpoints(cx, complete, endpoints);
            }
            Event::EndpointPollFailed => self.poll_retry.poll_failed(now, cx.rng),
            // The host has repeated the event: the request that is open must not be charged or sent twice.
            Event::Request(request) if requests.contains(request.id) => {}
            Event::Request(request) => {
                if let Some(open) = handler.request_arrived(cx, request) {
                    requests.insert(open);
                }
            }
            Event::ResponseStarted { id } => requests.update(id, |open| {
                open.response_started = true;
            }),
            Event::AttemptEnded(end) => {
                requests.update(end.id, |open| handler.attempt_ended(cx, open, &end));
            }
            Event::ClientDisconnected { id } => {
                requests.update(id, |open| handler.client_disconnected(cx, open));
            }
            Event::TimerFired { token } => {
                let timer = Timer::from_token(token);
                timer_fired(cx, timer, handler, requests, &mut self.poll_retry);
            }
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
                if let Some(id) = handler.quota.counter_replied(cx, &reply) {
                    requests.update(id, |open| handler.counter_replied(cx, open));
                }
            }
            Event::Gossip { from, body } => handler.quota.receive_gossip(cx, from, &body),
        }
    }
}

/// Starts the housekeeping, and where the endpoint list is polled, its watch.
fn start(cx: &mut Context) {
    cx.set_timer(Timer::Housekeeping, HOUSEKEEPING_INTERVAL_MS);
    if cx.settings.endpoints_polled {
        cx.actions.push(Action::WatchEndpoints);
    }
}

fn timer_fired(
    cx: &mut Context,
    timer: Timer,
    handler: &mut RequestHandler,
    requests: &mut OpenRequests,
    poll_retry: &mut PollRetry,
) {
    match timer {
        Timer::Housekeeping => run_housekeeping(cx, handler, poll_retry),
        Timer::CounterWait(id) => {
            requests.update(id, |open| handler.counter_wait_expired(cx, open));
        }
        Timer::Gossip => handler.quota.gossip.send(cx),
    }
}

/// Runs the periodic housekeeping, and repeats a failed poll of the endpoint list where that is due.
fn run_housekeeping(cx: &mut Context, handler: &mut RequestHandler, poll_retry: &mut PollRetry) {
    cx.set_timer(Timer::Housekeeping, HOUSEKEEPING_INTERVAL_MS);
    if poll_retry.take_due(cx.now) {
        cx.actions.push(Action::WatchEndpoints);
    }
    handler.tick(cx);
}
