//! Attempts: sending from a gateway, transmission to an endpoint, and the response.

use super::connections::ConnectionUse;
use super::event::{Event, GatewayProcess};
use super::requests::FirstExecution;
use super::Simulation;
use crate::endpoint::{Arrival, EndpointStatus};
use crate::{ms_to_micros, Micros};
use quota_gateway::{AttemptEnd, Event as GatewayEvent, Outcome};

/// An attempt whose end the gateway awaits, or that its endpoint has not completed.
pub(super) struct Attempt {
    request: u64,
    /// Index of the attempt within its request, from 0.
    number: u8,
    process: GatewayProcess,
    endpoint: u32,
    sent_at: Micros,
    /// Whether the gateway still awaits the end of the attempt.
    awaited: bool,
    /// Whether the endpoint is serving the attempt or has it in its queue.
    at_endpoint: bool,
    actual_units: f64,
}

impl Simulation<'_> {
    /// Sends an attempt from a gateway. If the attempt cannot be sent, returns its end instead.
    pub(super) fn send_attempt(
        &mut self,
        gateway: u32,
        request: u64,
        endpoint: u32,
        timeout_ms: f64,
    ) -> Option<GatewayEvent> {
        if !self.open_requests.contains_key(&request) {
            return Some(not_sent(request, 0, endpoint, true));
        }
        let attempt = self.queue.next_id();
        let open = self.open_requests.get_mut(&request)?;
        let number = open.attempts.len() as u8;
        open.attempts.push(attempt);
        let answered = open.answered;
        self.check_disconnected(gateway, request);
        let open = self.open_requests.get(&request)?;
        let deadline = self.deadline_of(open);
        let too_many = u32::from(number) >= self.experiment.rules.max_attempts;
        if answered || too_many || self.queue.now() >= deadline {
            return Some(not_sent(request, number, endpoint, answered));
        }
        self.check_duplicated(gateway, request, endpoint);
        let open = self.open_requests.get_mut(&request)?;
        open.in_flight += 1;
        let actual_units = open.client_request.actual_units;
        self.check_draining(gateway, endpoint);
        let connection = self.take_connection(gateway, endpoint);
        self.record_attempt(gateway, endpoint, number, connection);
        self.attempts.insert(
            attempt,
            Attempt {
                request,
                number,
                process: self.gateways[gateway as usize].process,
                endpoint,
                sent_at: self.queue.now(),
                awaited: true,
                at_endpoint: false,
                actual_units,
            },
        );
        let times_out_at = (self.queue.now() + ms_to_micros(timeout_ms)).min(deadline);
        self.queue.schedule(
            times_out_at,
            Event::AttemptEnds {
                attempt,
                outcome: Outcome::Timeout,
            },
        );
        self.transmit(attempt, gateway, endpoint, connection);
        None
    }

    /// Schedules the arrival of an attempt at its endpoint, or the failure of its connection.
    fn transmit(&mut self, attempt: u64, gateway: u32, endpoint: u32, connection: ConnectionUse) {
        let target = &self.endpoints[endpoint as usize];
        let reachable = target.status != EndpointStatus::Unreachable;
        let delay = self
            .network
            .delay(self.gateways[gateway as usize].zone, target.zone);
        let Some(delay) = delay.filter(|_| reachable) else {
            // Opening a new connection fails after the connect timeout. On an open connection no response arrives until
            // the attempt times out.
            if connection.is_new {
                let connect_timeout = ms_to_micros(self.experiment.rules.connect_timeout_ms);
                let outcome = Outcome::ConnectFailed;
                self.queue
                    .schedule_in(connect_timeout, Event::AttemptEnds { attempt, outcome });
            }
            return;
        };
        if connection.refused {
            let outcome = Outcome::Rejected;
            self.queue
                .schedule_in(2 * delay, Event::AttemptEnds { attempt, outcome });
            return;
        }
        let handshake = if connection.is_new {
            2 * delay + self.endpoint_parameters.handshake
        } else {
            0
        };
        self.queue
            .schedule_in(handshake + delay, Event::AttemptArrives { attempt });
    }

    fn record_attempt(
        &mut self,
        gateway: u32,
        endpoint: u32,
        number: u8,
        connection: ConnectionUse,
    ) {
        if !self.is_measuring() {
            return;
        }
        let gateway = &mut self.gateways[gateway as usize];
        let stats = &mut self.recorder.report.attempts;
        stats.sent += 1;
        if number > 0 {
            stats.retries += 1;
        }
        if connection.is_new {
            stats.new_connections += 1;
        }
        if self.endpoints[endpoint as usize].zone != gateway.zone {
            stats.cross_zone += 1;
        }
        *gateway
            .stats
            .attempts_by_endpoint
            .entry(endpoint)
            .or_default() += 1;
    }

    /// Handles the arrival of an attempt at its endpoint.
    pub(super) fn attempt_arrives(&mut self, id: u64) {
        let is_measuring = self.is_measuring();
        let now = self.queue.now();
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let index = attempt.endpoint;
        let endpoint = &mut self.endpoints[index as usize];
        if is_measuring && endpoint.status == EndpointStatus::Running {
            endpoint.requests += 1;
        }
        match endpoint.arrive(&self.endpoint_parameters, now, id) {
            Arrival::Started(service_time) => {
                attempt.at_endpoint = true;
                let generation = endpoint.generation;
                let completed = Event::ServiceCompleted {
                    endpoint: index,
                    generation,
                    attempt: id,
                };
                self.queue.schedule_in(service_time, completed);
            }
            Arrival::Queued => attempt.at_endpoint = true,
            Arrival::Rejected => self.respond(id, Outcome::Rejected),
            Arrival::Refused => self.respond(id, Outcome::ConnectFailed),
            Arrival::NoResponse => {}
            Arrival::Overloaded { arrived, allowed } => {
                self.record_overload(index, arrived, allowed);
                self.respond(id, Outcome::ConnectionReset);
                self.schedule_endpoint_status_detection(index);
            }
        }
    }

    /// Handles the completion of an attempt by its endpoint.
    pub(super) fn service_completed(&mut self, index: u32, generation: u32, attempt: u64) {
        let now = self.queue.now();
        let endpoint = &mut self.endpoints[index as usize];
        if endpoint.generation != generation {
            return;
        }
        if let Some((next, service_time)) = endpoint.complete(&self.endpoint_parameters, now) {
            let completed = Event::ServiceCompleted {
                endpoint: index,
                generation,
                attempt: next,
            };
            self.queue.schedule_in(service_time, completed);
        }
        if self.endpoints[index as usize].status != EndpointStatus::Unreachable {
            self.respond(attempt, Outcome::Success);
        }
    }

    /// Sends an endpoint's response to the gateway. The response is lost if a partition separates the endpoint from the
    /// gateway.
    fn respond(&mut self, id: u64, outcome: Outcome) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        attempt.at_endpoint = false;
        if !attempt.awaited {
            self.attempts.remove(&id);
            return;
        }
        let endpoint_zone = self.endpoints[attempt.endpoint as usize].zone;
        let gateway_zone = self.gateways[attempt.process.index as usize].zone;
        if let Some(delay) = self.network.delay(endpoint_zone, gateway_zone) {
            self.queue.schedule_in(
                delay,
                Event::AttemptEnds {
                    attempt: id,
                    outcome,
                },
            );
        }
    }

    /// Ends an attempt for its gateway: by a response, a timeout, a failed connection or a cancellation.
    pub(super) fn attempt_ends(&mut self, id: u64, outcome: Outcome) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        if !attempt.awaited {
            return;
        }
        attempt.awaited = false;
        let request = attempt.request;
        let process = attempt.process;
        let endpoint = attempt.endpoint;
        let sent_at = attempt.sent_at;
        let end = AttemptEnd {
            id: request,
            attempt: attempt.number,
            endpoint,
            outcome,
            request_answered: true,
            actual_units: (outcome == Outcome::Success).then_some(attempt.actual_units),
            elapsed_ms: (self.queue.now() - sent_at) as f64 / 1000.0,
        };
        if !attempt.at_endpoint {
            self.attempts.remove(&id);
        }
        if !self.is_running(process) {
            return;
        }
        self.release_connection(process.index, endpoint, outcome);
        self.record_outcome(outcome);
        self.request_attempt_ended(end, process, sent_at);
    }

    /// Updates the request of an attempt that has ended, and notifies the request's gateway.
    fn request_attempt_ended(
        &mut self,
        mut end: AttemptEnd,
        process: GatewayProcess,
        sent_at: Micros,
    ) {
        let request = end.id;
        let zone = self.endpoints[end.endpoint as usize].zone;
        let Some(open) = self.open_requests.get_mut(&request) else {
            return;
        };
        open.in_flight -= 1;
        if !end.outcome.never_executed() && open.first_execution.is_none() {
            open.first_execution = Some(FirstExecution { sent_at, zone });
        }
        if end.outcome == Outcome::Success {
            self.answer_successfully(request);
        }
        end.request_answered = self
            .open_requests
            .get(&request)
            .is_none_or(|open| open.answered);
        self.notify_gateway(process.index, GatewayEvent::AttemptEnded(end));
        self.drop_if_ended(request);
    }

    fn record_outcome(&mut self, outcome: Outcome) {
        if !self.is_measuring() {
            return;
        }
        let stats = &mut self.recorder.report.attempts;
        match outcome {
            Outcome::Success => stats.succeeded += 1,
            Outcome::Rejected => stats.rejected += 1,
            Outcome::ConnectFailed => stats.connect_failed += 1,
            Outcome::Timeout | Outcome::ConnectionReset => stats.timed_out += 1,
            Outcome::ErrorResponse | Outcome::Cancelled | Outcome::NotSent => {
                stats.cancelled += 1;
            }
        }
    }
}

/// The event that an attempt ended without being sent.
fn not_sent(request: u64, number: u8, endpoint: u32, request_answered: bool) -> GatewayEvent {
    GatewayEvent::AttemptEnded(AttemptEnd {
        id: request,
        attempt: number,
        endpoint,
        outcome: Outcome::NotSent,
        request_answered,
        actual_units: None,
        elapsed_ms: 0.0,
    })
}
