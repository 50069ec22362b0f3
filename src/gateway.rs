//! The entry point of the library: it dispatches events to the policies and collects the resulting actions. The public
//! types are in `src/api`, the decisions in `src/policy`.

use crate::api::{Action, EndpointId, Event, Millis, Settings};
use crate::policy::{poll_retry::PollRetry, request_handler::RequestHandler};
use crate::state::{ChargeReply, Context, OpenRequests, Timer};

/// Interval of the periodic housekeeping, in ms.
const HOUSEKEEPING_INTERVAL_MS: Millis = 1000.0;

/// The decision logic of one gateway, with all of its state.
pub struct Gateway {
    settings: Settings,
    rng: fastrand::Rng,
    /// Whether the first event has been handled.
    started: bool,
    poll_retry: PollRetry,
    requests: OpenRequests,
    handler: RequestHandler,
}

impl Gateway {
    /// Creates a gateway that starts at `now` without endpoints and customers.
    ///
    /// The seed determines all random choices: the same settings, seed and events lead to the same actions.
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

    /// The number of customers that the gateway currently holds state for.
    #[must_use]
    pub fn customer_count(&self) -> usize {
        self.handler.quota.customers.len()
    }

    /// The subset of the endpoints that this gateway prefers, sorted by id. The subset is brought up to date with the
    /// endpoint list first.
    pub fn subset(&mut self) -> &[EndpointId] {
        self.handler.forwarder.load_balancer.update_subset()
    }

    /// Handles one event and appends the resulting actions to `actions`. `now` is the time of the event.
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
            // The host has repeated the event. The request is already open and must not be charged or sent twice.
            Event::Request(request) if requests.contains(request.id) => {}
            Event::Request(request) => {
                if let Some(request) = handler.request_arrived(cx, request) {
                    requests.insert(request);
                }
            }
            Event::ResponseStarted { id } => requests.update(id, |request| {
                request.response_started = true;
            }),
            Event::AttemptEnded(end) => {
                requests.update(end.id, |request| handler.attempt_ended(cx, request, &end));
            }
            Event::ClientDisconnected { id } => {
                requests.update(id, |request| handler.client_disconnected(cx, request));
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
                    requests.update(id, |request| handler.counter_replied(cx, request));
                }
            }
            Event::Gossip { from, body } => handler.quota.receive_gossip(cx, from, &body),
        }
    }
}

/// Starts the periodic housekeeping, and watches the endpoint list if it has to be polled.
fn start(cx: &mut Context) {
    cx.set_timer(Timer::Housekeeping, HOUSEKEEPING_INTERVAL_MS);
    if cx.settings.endpoints_polled {
        cx.actions.push(Action::WatchEndpoints);
    }
}

/// Handles a timer that has fired.
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
            requests.update(id, |request| handler.counter_wait_expired(cx, request));
        }
        Timer::Gossip => handler.quota.gossip.send(cx),
    }
}

/// Runs the periodic housekeeping, and repeats a failed poll of the endpoint list once its retry is due.
fn run_housekeeping(cx: &mut Context, handler: &mut RequestHandler, poll_retry: &mut PollRetry) {
    cx.set_timer(Timer::Housekeeping, HOUSEKEEPING_INTERVAL_MS);
    if poll_retry.take_due(cx.now) {
        cx.actions.push(Action::WatchEndpoints);
    }
    handler.tick(cx);
}
