//! Passes events to the gateways' library instances and executes the actions that these return.

use super::event::{Event, GatewayProcess};
use super::requests::UnsuccessfulResponse;
use super::Simulation;
use crate::ms_to_micros;
use quota_gateway::{Action, Event as GatewayEvent, Outcome};
use std::collections::VecDeque;

impl Simulation<'_> {
    /// Passes an event to a gateway and executes its actions, then does the same with the events that these actions
    /// cause immediately.
    pub(super) fn notify_gateway(&mut self, gateway: u32, event: GatewayEvent) {
        let now_ms = self.gateway_clock_ms();
        let mut events = VecDeque::from([event]);
        let mut actions = Vec::new();
        while let Some(event) = events.pop_front() {
            self.gateways[gateway as usize]
                .library
                .handle(now_ms, event, &mut actions);
            for action in actions.drain(..) {
                events.extend(self.execute_action(gateway, &action));
            }
        }
    }

    /// Executes an action. Returns the event that the action causes immediately, if any.
    fn execute_action(&mut self, gateway: u32, action: &Action) -> Option<GatewayEvent> {
        match *action {
            // The simulated gateway sends each attempt without delay.
            Action::SendAttempt {
                id,
                endpoint,
                timeout_ms,
                ..
            } => {
                return self.send_attempt(gateway, id, endpoint, timeout_ms);
            }
            Action::CancelAttempt { id, attempt } => self.cancel_attempt(id, attempt),
            Action::Reject { id, retry_after_ms } => {
                self.respond_unsuccessfully(id, UnsuccessfulResponse::Rejected { retry_after_ms });
            }
            Action::Fail { id } => self.respond_unsuccessfully(id, UnsuccessfulResponse::Failed),
            Action::SetTimer { token, after_ms } => {
                let process = self.gateways[gateway as usize].process;
                self.queue.schedule_in(
                    ms_to_micros(after_ms),
                    Event::GatewayTimerFires { process, token },
                );
            }
            Action::AddToCounter {
                key,
                amount,
                ttl_ms,
            } => self.call_counter(gateway, key, amount, ttl_ms),
            // Agents push changes of the endpoint list without being asked. Gossip is disabled in the settings.
            Action::WatchEndpoints | Action::Gossip { .. } => {}
        }
        None
    }

    fn cancel_attempt(&mut self, request: u64, number: u8) {
        let Some(open) = self.open_requests.get(&request) else {
            return;
        };
        let Some(attempt) = open.attempts.get(usize::from(number)).copied() else {
            return;
        };
        self.queue.schedule_in(
            0,
            Event::AttemptEnds {
                attempt,
                outcome: Outcome::Cancelled,
            },
        );
    }

    /// Notifies the gateway that a timer has fired. Timers of earlier processes are ignored.
    pub(super) fn gateway_timer_fires(&mut self, process: GatewayProcess, token: u64) {
        if self.is_running(process) {
            self.notify_gateway(process.index, GatewayEvent::TimerFired { token });
        }
    }
}
