//! Clients' requests, from the arrival at a gateway to the final response.

use super::event::{Event, GatewayProcess};
use super::{Simulation, RESPONSE_SLACK};
use crate::clients::ClientRequest;
use crate::{ms_to_micros, Micros};
use quota_gateway::{Event as GatewayEvent, Request};

/// A request that awaits its final response or has attempts in flight.
pub(super) struct OpenRequest {
    pub(super) process: GatewayProcess,
    pub(super) client_request: ClientRequest,
    arrived_at: Micros,
    /// Whether the request has its final response or needs none any more, because its client has disconnected or the
    /// deadline has passed.
    pub(super) answered: bool,
    pub(super) disconnected_at: Option<Micros>,
    /// Ids of the request's attempts, in the order of sending.
    pub(super) attempts: Vec<u64>,
    pub(super) in_flight: u8,
    pub(super) first_execution: Option<FirstExecution>,
}

/// The first attempt of a request that may have been executed.
#[derive(Clone, Copy)]
pub(super) struct FirstExecution {
    pub(super) sent_at: Micros,
    pub(super) zone: u32,
}

/// A gateway's final response to a request that was not served.
#[derive(Clone, Copy)]
pub(super) enum UnsuccessfulResponse {
    /// The request was rejected. `retry_after_ms` is the advised delay before a retry; 0 if none is advised.
    Rejected { retry_after_ms: f64 },
    /// The request failed.
    Failed,
}

impl Simulation<'_> {
    pub(super) fn client_arrives(&mut self) {
        if self.queue.now() >= self.ends_at {
            return;
        }
        let arrival_gap = self.clients.draw_arrival_gap();
        self.queue.schedule_in(arrival_gap, Event::ClientArrives);
        let request = self.clients.draw_request();
        self.request_arrives(request);
    }

    pub(super) fn client_retries(&mut self, request: ClientRequest) {
        if self.queue.now() < self.ends_at {
            self.request_arrives(request);
        }
    }

    fn request_arrives(&mut self, client_request: ClientRequest) {
        let gateways = &self.gateways;
        let accepts = |index: usize| gateways[index].accepts_requests;
        let Some(index) = self.clients.pick_gateway(client_request.customer, accepts) else {
            return;
        };
        let id = self.queue.next_id();
        let deadline_ms = self.experiment.classes[client_request.class as usize].deadline_ms;
        let deadline = ms_to_micros(deadline_ms);
        self.queue.schedule_in(
            deadline + RESPONSE_SLACK,
            Event::DeadlinePasses { request: id },
        );
        if let Some(delay) = self.clients.draw_disconnect_delay(deadline) {
            self.queue
                .schedule_in(delay, Event::ClientDisconnects { request: id });
        }
        self.record_request(index, &client_request);
        let request = Request {
            id,
            customer: client_request.customer,
            plan: client_request.plan,
            class: client_request.class,
            units: client_request.estimated_units,
            timeout_ms: deadline_ms,
            gateway_set_size: self.experiment.load.gateway_set_size.into(),
            is_retry: client_request.retry > 0,
        };
        let open = OpenRequest {
            process: self.gateways[index].process,
            client_request,
            arrived_at: self.queue.now(),
            answered: false,
            disconnected_at: None,
            attempts: Vec::new(),
            in_flight: 0,
            first_execution: None,
        };
        self.open_requests.insert(id, open);
        self.notify_gateway(index as u32, GatewayEvent::Request(request));
    }

    fn record_request(&mut self, gateway: usize, client_request: &ClientRequest) {
        self.recorder.window(self.queue.now()).requests += 1;
        if !self.is_measuring() {
            return;
        }
        let stats = &mut self.recorder.report.requests;
        stats.total += 1;
        if client_request.retry == 0 {
            stats.initial += 1;
        }
        self.gateways[gateway].stats.requests += 1;
    }

    pub(super) fn client_disconnects(&mut self, id: u64) {
        let now = self.queue.now();
        let Some(open) = self.open_requests.get_mut(&id) else {
            return;
        };
        if open.answered {
            return;
        }
        open.answered = true;
        open.disconnected_at = Some(now);
        let process = open.process;
        if self.is_measuring() {
            self.recorder.report.requests.disconnected += 1;
        }
        if self.is_running(process) {
            self.notify_gateway(process.index, GatewayEvent::ClientDisconnected { id });
        }
        self.drop_if_ended(id);
    }

    /// Records a violation if the request has no final response yet, and closes the request.
    pub(super) fn deadline_passes(&mut self, id: u64) {
        let Some(open) = self.open_requests.get_mut(&id) else {
            return;
        };
        if open.answered {
            return;
        }
        open.answered = true;
        let gateway = open.process.index;
        let class = open.client_request.class;
        let at_s = self.queue.now() as f64 / 1e6;
        let violations = &mut self.recorder.report.violations;
        violations.unanswered += 1;
        violations.describe_first(|| {
            format!("lost: no response from gateway {gateway}, class {class}, by {at_s:.3} s")
        });
        self.drop_if_ended(id);
    }

    /// Answers the request with the response of a successful attempt, unless the request is already answered.
    pub(super) fn answer_successfully(&mut self, id: u64) {
        let now = self.queue.now();
        let Some(open) = self.open_requests.get_mut(&id) else {
            return;
        };
        if open.answered {
            return;
        }
        open.answered = true;
        let latency = now - open.arrived_at;
        let class = &self.experiment.classes[open.client_request.class as usize];
        let on_time = latency <= ms_to_micros(class.latency_objective_ms);
        let after_deadline = latency > ms_to_micros(class.deadline_ms) + RESPONSE_SLACK;
        self.record_success(latency, on_time);
        if after_deadline {
            let violations = &mut self.recorder.report.violations;
            violations.unanswered += 1;
            violations
                .describe_first(|| format!("lost: served after {latency} us, past the deadline"));
        }
    }

    fn record_success(&mut self, latency: Micros, on_time: bool) {
        let window = self.recorder.window(self.queue.now());
        if on_time {
            window.served_on_time += 1;
        } else {
            window.served_late += 1;
        }
        if !self.is_measuring() {
            return;
        }
        let stats = &mut self.recorder.report.requests;
        if on_time {
            stats.served_on_time += 1;
        } else {
            stats.served_late += 1;
        }
        self.recorder.record_latency(latency);
    }

    /// Answers the request without success. The client may retry it.
    pub(super) fn respond_unsuccessfully(&mut self, id: u64, response: UnsuccessfulResponse) {
        let Some(open) = self.open_requests.get_mut(&id) else {
            return;
        };
        if open.answered {
            return;
        }
        open.answered = true;
        let client_request = open.client_request.clone();
        self.record_unsuccessful_response(response);
        let retry_after_ms = match response {
            UnsuccessfulResponse::Rejected { retry_after_ms } => retry_after_ms,
            UnsuccessfulResponse::Failed => 0.0,
        };
        if let Some((retry, delay)) = self.clients.draw_retry(&client_request, retry_after_ms) {
            self.queue.schedule_in(delay, Event::ClientRetries(retry));
        }
        self.drop_if_ended(id);
    }

    fn record_unsuccessful_response(&mut self, response: UnsuccessfulResponse) {
        let is_measuring = self.is_measuring();
        let window = self.recorder.window(self.queue.now());
        match response {
            UnsuccessfulResponse::Rejected { .. } => window.rejected += 1,
            UnsuccessfulResponse::Failed => window.failed += 1,
        }
        if !is_measuring {
            return;
        }
        let stats = &mut self.recorder.report.requests;
        match response {
            UnsuccessfulResponse::Rejected { .. } => stats.rejected += 1,
            UnsuccessfulResponse::Failed => stats.failed += 1,
        }
    }

    /// Removes the request if it is answered and has no attempt in flight.
    pub(super) fn drop_if_ended(&mut self, id: u64) {
        if self
            .open_requests
            .get(&id)
            .is_some_and(|open| open.answered && open.in_flight == 0)
        {
            self.open_requests.remove(&id);
        }
    }

    /// Removes the requests of a process that has ended. Those without a final response count as violations.
    pub(super) fn discard_open_requests(&mut self, process: GatewayProcess) {
        let of_process = self
            .open_requests
            .iter()
            .filter(|(_, open)| open.process == process);
        let mut ids: Vec<u64> = of_process.map(|(id, _)| *id).collect();
        ids.sort_unstable();
        for id in ids {
            let Some(open) = self.open_requests.remove(&id) else {
                continue;
            };
            if open.answered {
                continue;
            }
            let gateway = process.index;
            let report = &mut self.recorder.report;
            report.requests.lost_at_restart += 1;
            report.violations.unanswered += 1;
            report
                .violations
                .describe_first(|| format!("lost: gateway {gateway} ended with request {id} open"));
        }
    }

    pub(super) fn deadline_of(&self, open: &OpenRequest) -> Micros {
        let class = &self.experiment.classes[open.client_request.class as usize];
        open.arrived_at + ms_to_micros(class.deadline_ms)
    }
}
