//! The endpoints that requests are forwarded to: slots and a queue, slow start, draining, and overload in slow start.

use crate::experiment::{Experiment, ExperimentError};
use crate::{micros, seeded_rng, Micros};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};
use std::collections::VecDeque;

/// What an endpoint does with requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndpointStatus {
    /// Serves requests.
    Running,
    /// Completes its requests and rejects new ones.
    Draining,
    /// Its machine is lost or cut off: nothing is answered.
    Unreachable,
    /// Its process has ended: connections are refused.
    Stopped,
}

/// What an endpoint does with a request that has arrived.
pub(crate) enum Arrival {
    /// It works on the request for this time.
    Started(Micros),
    /// The request waits in the queue.
    Queued,
    /// The request is rejected.
    Rejected,
    /// The connection is refused.
    Refused,
    /// Nothing ever comes back.
    NoResponse,
    /// The endpoint, in slow start, has failed under the load.
    Overloaded {
        /// Requests that arrived within the rule's window.
        arrived: usize,
        /// How many the rule allows.
        allowed: f64,
    },
}

/// What all endpoints have in common.
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
        // The mean of a lognormal distribution is e to the power of mu and half the square of sigma.
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
            handshake: micros(endpoints.handshake_ms),
            service_time_ms,
            mean_service_ms: endpoints.service_ms,
            slow_start_min_capacity: rules.slow_start_min_capacity,
            slow_start: micros(rules.slow_start_ms),
            overload_multiple: rules.overload_multiple,
            overload_window: micros(rules.overload_window_ms),
        })
    }

    /// Share of its full capacity that an endpoint has at `now`.
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

    /// Most requests within the rule's window that an endpoint with this share of its capacity survives. The allowance
    /// for chance grows with the root of the expected number.
    fn overload_limit(&self, capacity: f64) -> f64 {
        let served_per_s = f64::from(self.slots) * 1000.0 / self.mean_service_ms * capacity;
        let expected = self.overload_multiple * served_per_s * self.overload_window as f64 / 1e6;
        expected + 2.0 * expected.sqrt() + 2.0
    }
}

/// One endpoint.
pub(crate) struct EmulatedEndpoint {
    pub(crate) zone: u32,
    pub(crate) state: EndpointStatus,
    /// When its process started; `None` if that is long past.
    pub(crate) started_at: Option<Micros>,
    /// Counts the times that it lost the requests it had: completions of an earlier generation are void.
    pub(crate) generation: u32,
    /// Connections that gateways hold to it.
    pub(crate) connections: u32,
    /// Requests that arrived while the report counts.
    pub(crate) requests: u64,
    busy_slots: u32,
    queue: VecDeque<u64>,
    /// Arrivals in slow start within the rule's window.
    recent_arrivals: VecDeque<Micros>,
    rng: ChaCha8Rng,
}

impl EmulatedEndpoint {
    pub(crate) fn new(seed: u64, index: u64, zone: u32, started_at: Option<Micros>) -> Self {
        EmulatedEndpoint {
            zone,
            state: EndpointStatus::Running,
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

    /// An attempt's request has arrived.
    pub(crate) fn arrive(
        &mut self,
        parameters: &EndpointParameters,
        now: Micros,
        attempt: u64,
    ) -> Arrival {
        match self.state {
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

    /// In slow start: counts the arrival, and stops the endpoint if there were too many.
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
        self.stop(EndpointStatus::Stopped);
        Some(Arrival::Overloaded { arrived, allowed })
    }

    fn service_time(&mut self, parameters: &EndpointParameters, now: Micros) -> Micros {
        let sample_ms = parameters.service_time_ms.sample(&mut self.rng);
        let capacity = parameters.capacity(self.started_at, now);
        micros(sample_ms / capacity).max(1)
    }

    /// A request is complete. Returns the next attempt from the queue, if any, and its service time.
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

    /// The endpoint loses all requests that it has.
    pub(crate) fn stop(&mut self, state: EndpointStatus) {
        self.state = state;
        self.generation += 1;
        self.busy_slots = 0;
        self.queue.clear();
        self.recent_arrivals.clear();
    }

    /// The endpoint is back, in slow start.
    pub(crate) fn restart(&mut self, now: Micros) {
        self.stop(EndpointStatus::Running);
        self.started_at = Some(now);
    }
}
