//! Passes events to the decision library and carries out the actions that the library returns, in order.

use super::clock::duration_from_ms;
use super::enforcement::StartRefusal;
use super::messages::FinalResponse;
use super::registry::UnsentAttempt;
use super::Driver;
use crate::counter::IncrementCall;
use quota_gateway::{Action, AttemptEnd, EndpointId, Event, Outcome, RequestId};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

impl Driver {
    /// Passes an event to the library and carries out the actions that the library returns. An action that fails at
    /// once yields another event, which is then handled in the same way.
    pub(super) fn dispatch(self: &Rc<Self>, event: Event) {
        let mut events = VecDeque::from([event]);
        let mut actions = self.actions.take();
        while let Some(event) = events.pop_front() {
            self.library
                .borrow_mut()
                .handle(self.clock.now_ms(), event, &mut actions);
            for action in actions.drain(..) {
                events.extend(self.perform(action));
            }
        }
        self.actions.replace(actions);
    }

    /// Carries out one action. If the action fails at once, returns the event that reports the failure.
    fn perform(self: &Rc<Self>, action: Action) -> Option<Event> {
        match action {
            Action::SendAttempt {
                id,
                endpoint,
                timeout_ms,
                start_timeout_ms,
            } => {
                return self.send_attempt(
                    id,
                    endpoint,
                    duration_from_ms(timeout_ms),
                    duration_from_ms(start_timeout_ms),
                );
            }
            Action::CancelAttempt { id, attempt } => {
                self.registry
                    .borrow_mut()
                    .cancel_attempt(id, attempt.into());
            }
            Action::Reject { id, retry_after_ms } => {
                tracing::debug!(request_id = id, retry_after_ms, "request rejected");
                self.registry
                    .borrow_mut()
                    .respond(id, FinalResponse::Rejected { retry_after_ms });
            }
            Action::Fail { id } => {
                tracing::debug!(request_id = id, "request failed");
                self.registry
                    .borrow_mut()
                    .respond(id, FinalResponse::Failed);
            }
            Action::SetTimer { token, after_ms } => {
                self.set_timer(token, duration_from_ms(after_ms));
            }
            Action::AddToCounter {
                key,
                amount,
                ttl_ms,
            } => {
                return self.add_to_counter(key, amount, ttl_ms);
            }
            // The discovery task keeps the endpoint watch open without a request from the library.
            Action::WatchEndpoints => {}
            Action::Gossip { to, body } => {
                if let Some(gossip) = &self.gossip {
                    gossip.send(to, &body);
                }
            }
        }
        None
    }

    /// Starts the request's next attempt. If the attempt is refused, returns the event that reports it as not sent.
    fn send_attempt(
        self: &Rc<Self>,
        id: RequestId,
        endpoint: EndpointId,
        timeout: Duration,
        start_timeout: Duration,
    ) -> Option<Event> {
        let instance = self.pool.instance(endpoint);
        let started =
            self.registry
                .borrow_mut()
                .start_attempt(id, instance, timeout, start_timeout);
        match started {
            Ok(attempt) => {
                tracing::debug!(
                    request_id = id,
                    attempt = attempt.number,
                    endpoint,
                    "attempt started"
                );
                self.attempt_sender
                    .spawn(id, endpoint, attempt, self.clone());
                None
            }
            Err(unsent) => Some(not_sent(id, endpoint, unsent)),
        }
    }

    fn set_timer(self: &Rc<Self>, token: u64, after: Duration) {
        let driver = self.clone();
        tokio::task::spawn_local(async move {
            sleep(after).await;
            driver.dispatch(Event::TimerFired { token });
        });
    }

    /// Queues an increment of the shared counter. If the queue is full, returns the event that reports the call
    /// as rejected.
    fn add_to_counter(&self, key: u64, amount: f64, ttl_ms: f64) -> Option<Event> {
        let counter = self.counter.as_ref()?;
        if counter.call(IncrementCall {
            key,
            amount,
            ttl_ms,
            started_at: Instant::now(),
        }) {
            return None;
        }
        Some(Event::CounterReply {
            key,
            outcome: Outcome::Rejected,
            total: 0.0,
            elapsed_ms: 0.0,
        })
    }
}

fn not_sent(id: RequestId, endpoint: EndpointId, unsent: UnsentAttempt) -> Event {
    Event::AttemptEnded(AttemptEnd {
        id,
        attempt: unsent.number as u8,
        endpoint,
        outcome: Outcome::NotSent,
        request_answered: unsent.reason == StartRefusal::RequestClosed,
        actual_units: None,
        elapsed_ms: 0.0,
    })
}
