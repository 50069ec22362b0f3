//! Model of the endpoints that requests are forwarded to: service slots with lognormal service times, a queue, slow
//! start, draining, and failure by overload in slow start.

use crate::experiment::{Experiment, ExperimentError};
use crate::{ms_to_micros, seeded_rng, Micros};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};
use std::collections::VecDeque;

/// Status of an endpoint, which decides how the endpoint handles requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndpointStatus {
    /// The endpoint serves requests.
    Running,
    /// The endpoint completes its accepted requests and rejects new ones.
    Draining,
    /// The endpoint's host is down or partitioned: requests get no response.
    Unreachable,
    /// The endpoint's process has ended: connections are refused.
    Stopped,
}

/// Result of a request's arrival at an endpoint.
pub(crate) enum Arrival {
    /// A slot was free; the service takes this time.
    Started(Micros),
    /// All slots are busy; the request waits in the queue.
    Queued,
    /// The endpoint is draining or its queue is full.
    Rejected,
    /// The endpoint's process has ended and the connection is refused.
    Refused,
    /// The endpoint is unreachable; no response follows.
    NoResponse,
    /// The endpoint is in slow start and the request has overloaded it, so that it stops.
    Overloaded {
        /// Requests that arrived within the overload window.
        arrived: usize,
        /// Requests that the overload rule allows within that window.
        allowed: f64,
    },
}

/// Parameters shared by all endpoints.
pub(crate) struct EndpointParameters {
    slots: u32,
    max_queue: usize,
    pub(crate) max_connections: u32,
    pub(crate) handshake: Micros,
    service_time_ms: LogNormal<f64>,
    mean_service_ms: f64,
    slow_start_min_capacity: f64,
    slow_start: Micros,
    overload_multiple: f64,
    overload_window: Micros,
}

impl EndpointParameters {
    pub(crate) fn new(experiment: &Experiment) -> Result<Self, ExperimentError> {
        let endpoints = &experiment.endpoints;
        let rules = &experiment.rules;
        let sigma = endpoints.service_sigma;
        // The mean of a lognormal distribution is exp(mu + sigma^2 / 2).
        let mu = endpoints.service_ms.ln() - sigma * sigma / 2.0;
        let service_time_ms =
            LogNormal::new(mu, sigma).map_err(|error| ExperimentError::Distribution {
                field: "endpoints.service_ms",
                message: error.to_string(),
            })?;
        Ok(EndpointParameters {
            slots: endpoints.slots,
            max_queue: endpoints.max_queue as usize,
            max_connections: endpoints.max_connections,
            handshake: ms_to_micros(endpoints.handshake_ms),
            service_time_ms,
            mean_service_ms: endpoints.service_ms,
            slow_start_min_capacity: rules.slow_start_min_capacity,
            slow_start: ms_to_micros(rules.slow_start_ms),
            overload_multiple: rules.overload_multiple,
            overload_window: ms_to_micros(rules.overload_window_ms),
        })
    }

    /// Share of the full capacity that an endpoint has at `now`. The share grows linearly in slow start.
    fn capacity(&self, started_at: Option<Micros>, now: Micros) -> f64 {
        let Some(started_at) = started_at else {
            return 1.0;
        };
        let age = now - started_at;
        if age >= self.slow_start {
            return 1.0;
        }
        let min = self.slow_start_min_capacity;
        min + (1.0 - min) * age as f64 / self.slow_start as f64
    }

    /// Maximum number of requests within the overload window that an endpoint at this share of its capacity survives.
    /// The limit exceeds the expected number by an allowance for random variation, which grows with the square
    /// root of that number.
    fn overload_limit(&self, capacity: f64) -> f64 {
        let served_per_s = f64::from(self.slots) * 1000.0 / self.mean_service_ms * capacity;
        let expected = self.overload_multiple * served_per_s * self.overload_window as f64 / 1e6;
        expected + 2.0 * expected.sqrt() + 2.0
    }
}

/// One emulated endpoint.
pub(crate) struct EmulatedEndpoint {
    pub(crate) zone: u32,
    pub(crate) status: EndpointStatus,
    /// Start time of the endpoint's process; `None` if it started long before the experiment.
    pub(crate) started_at: Option<Micros>,
    /// Number of times that the endpoint lost its requests. Completions of an earlier generation are ignored.
    pub(crate) generation: u32,
    /// Open connections from gateways to the endpoint.
    pub(crate) connections: u32,
    /// Requests that arrived while the endpoint was running, in the measured part of the experiment.
    pub(crate) requests: u64,
    busy_slots: u32,
    queue: VecDeque<u64>,
    /// Times of the arrivals in slow start within the overload window.
    recent_arrivals: VecDeque<Micros>,
    rng: ChaCha8Rng,
}

impl EmulatedEndpoint {
    pub(crate) fn new(seed: u64, index: u64, zone: u32, started_at: Option<Micros>) -> Self {
        EmulatedEndpoint {
            zone,
            status: EndpointStatus::Running,
            started_at,
            generation: 0,
            connections: 0,
            requests: 0,
            busy_slots: 0,
            queue: VecDeque::new(),
            recent_arrivals: VecDeque::new(),
            rng: seeded_rng(seed, "backend", index),
        }
    }

    /// Handles the arrival of an attempt.
    pub(crate) fn arrive(
        &mut self,
        parameters: &EndpointParameters,
        now: Micros,
        attempt: u64,
    ) -> Arrival {
        match self.status {
            EndpointStatus::Running => {}
            EndpointStatus::Draining => return Arrival::Rejected,
            EndpointStatus::Unreachable => return Arrival::NoResponse,
            EndpointStatus::Stopped => return Arrival::Refused,
        }
        if let Some(overloaded) = self.check_overload(parameters, now) {
            return overloaded;
        }
        if self.busy_slots < parameters.slots {
            self.busy_slots += 1;
            return Arrival::Started(self.service_time(parameters, now));
        }
        if self.queue.len() < parameters.max_queue {
            self.queue.push_back(attempt);
            return Arrival::Queued;
        }
        Arrival::Rejected
    }

    /// Counts the arrival if the endpoint is in slow start, and stops the endpoint if the overload limit is exceeded.
    fn check_overload(&mut self, parameters: &EndpointParameters, now: Micros) -> Option<Arrival> {
        let capacity = parameters.capacity(self.started_at, now);
        if capacity >= 1.0 || parameters.overload_window == 0 {
            return None;
        }
        while self
            .recent_arrivals
            .front()
            .is_some_and(|at| at + parameters.overload_window < now)
        {
            self.recent_arrivals.pop_front();
        }
        self.recent_arrivals.push_back(now);
        let arrived = self.recent_arrivals.len();
        let allowed = parameters.overload_limit(capacity);
        if arrived as f64 <= allowed {
            return None;
        }
        self.reset(EndpointStatus::Stopped);
        Some(Arrival::Overloaded { arrived, allowed })
    }

    fn service_time(&mut self, parameters: &EndpointParameters, now: Micros) -> Micros {
        let sample_ms = parameters.service_time_ms.sample(&mut self.rng);
        let capacity = parameters.capacity(self.started_at, now);
        ms_to_micros(sample_ms / capacity).max(1)
    }

    /// Frees the slot of a completed request. Returns the next attempt from the queue, if any, and its service time.
    pub(crate) fn complete(
        &mut self,
        parameters: &EndpointParameters,
        now: Micros,
    ) -> Option<(u64, Micros)> {
        let Some(next) = self.queue.pop_front() else {
            self.busy_slots -= 1;
            return None;
        };
        let service_time = self.service_time(parameters, now);
        Some((next, service_time))
    }

    /// Drops all requests that the endpoint has and sets its status.
    pub(crate) fn reset(&mut self, status: EndpointStatus) {
        self.status = status;
        self.generation += 1;
        self.busy_slots = 0;
        self.queue.clear();
        self.recent_arrivals.clear();
    }

    /// Restarts the endpoint, which begins in slow start.
    pub(crate) fn restart(&mut self, now: Micros) {
        self.reset(EndpointStatus::Running);
        self.started_at = Some(now);
    }
}
