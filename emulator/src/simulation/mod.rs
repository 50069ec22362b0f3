//! Discrete-event simulation of instances of the decision library in an emulated environment.

mod actions;
mod attempts;
mod connections;
mod counter_calls;
mod endpoint_list;
mod event;
mod event_queue;
mod faults;
mod gateway;
mod recorder;
mod requests;
mod rule_checks;

use crate::clients::Clients;
use crate::counter::Counter;
use crate::discovery::Discovery;
use crate::endpoint::{EmulatedEndpoint, EndpointParameters};
use crate::experiment::{Experiment, ExperimentError};
use crate::network::Network;
use crate::report::Report;
use crate::{ms_to_micros, seeded_rng, Micros};
use attempts::Attempt;
use counter_calls::CounterCall;
use event::{Event, GatewayProcess};
use event_queue::EventQueue;
use gateway::EmulatedGateway;
use quota_gateway::{EndpointState, Gateway, Settings};
use rand::Rng;
use recorder::Recorder;
use requests::OpenRequest;
use rustc_hash::FxHashMap;
use std::time::{Duration, Instant};

/// Time of the gateways' clocks at the start of an experiment, in ms. The keys of the counter's windows derive from it.
const CLOCK_START_MS: f64 = 1e6;
/// Time after the deadline within which a final response still counts as in time.
const RESPONSE_SLACK: Micros = 50_000;
/// Interval at which a gateway closes idle connections, as in the gateway's program.
const IDLE_CHECK_INTERVAL: Micros = 1_000_000;
/// Interval of the progress log, in real time.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(5);
/// Number of events between two reads of the real clock.
const EVENTS_PER_CLOCK_CHECK: u64 = 4096;

/// Runs an experiment and returns its report.
///
/// # Errors
///
/// Fails if the experiment's values are not valid parameters of a random distribution.
pub fn run(experiment: &Experiment, seed: u64) -> Result<Report, ExperimentError> {
    let mut simulation = Simulation::new(experiment, seed)?;
    simulation.schedule_start();
    simulation.process_events();
    Ok(simulation.into_report())
}

struct Simulation<'a> {
    experiment: &'a Experiment,
    seed: u64,
    /// Settings shared by all gateways.
    settings: Settings,
    /// Time from which on no client makes a request.
    ends_at: Micros,
    queue: EventQueue,
    gateways: Vec<EmulatedGateway>,
    /// Number of gateway processes started so far. It numbers the random stream of each process.
    gateway_starts: u64,
    endpoints: Vec<EmulatedEndpoint>,
    endpoint_parameters: EndpointParameters,
    network: Network,
    counter: Option<Counter>,
    discovery: Discovery,
    clients: Clients,
    open_requests: FxHashMap<u64, OpenRequest>,
    attempts: FxHashMap<u64, Attempt>,
    counter_calls: FxHashMap<u64, CounterCall>,
    recorder: Recorder,
}

impl<'a> Simulation<'a> {
    fn new(experiment: &'a Experiment, seed: u64) -> Result<Self, ExperimentError> {
        let zones = experiment.topology.zones();
        let endpoint_count = experiment.endpoints.count;
        let endpoints = (0..endpoint_count)
            .map(|index| EmulatedEndpoint::new(seed, index.into(), index % zones, None));
        let list = (0..endpoint_count)
            .map(|index| endpoint_list::list_entry(index, index % zones, EndpointState::Ready, 0.0))
            .collect();
        let discovery = Discovery::new(
            &experiment.discovery,
            list,
            seeded_rng(seed, "discovery", 0),
        );
        Ok(Simulation {
            experiment,
            seed,
            settings: experiment.settings(),
            ends_at: ms_to_micros(experiment.seconds * 1000.0),
            queue: EventQueue::default(),
            gateways: Vec::new(),
            gateway_starts: 0,
            endpoints: endpoints.collect(),
            endpoint_parameters: EndpointParameters::new(experiment)?,
            network: Network::new(&experiment.topology),
            counter: experiment.counter.as_ref().map(Counter::new),
            discovery,
            clients: Clients::new(experiment, seed)?,
            open_requests: FxHashMap::default(),
            attempts: FxHashMap::default(),
            counter_calls: FxHashMap::default(),
            recorder: Recorder::new(experiment, seed),
        })
    }

    /// Starts the gateways and schedules the first events.
    fn schedule_start(&mut self) {
        let gateway_count = self.experiment.gateways.count;
        for index in 0..gateway_count {
            let gateway = self.start_gateway(GatewayProcess {
                index,
                incarnation: 0,
            });
            self.gateways.push(gateway);
            self.deliver_complete_list(index);
            // The checks of the gateways are staggered over the interval.
            let at = IDLE_CHECK_INTERVAL * Micros::from(index) / Micros::from(gateway_count);
            self.queue
                .schedule(at, Event::IdleConnectionCheck { gateway: index });
        }
        for (fault, model) in self.experiment.faults.iter().enumerate() {
            let starts_at = ms_to_micros(model.start_s() * 1000.0);
            let ends_at = ms_to_micros((model.start_s() + model.duration_s()) * 1000.0);
            self.queue.schedule(starts_at, Event::FaultStarts { fault });
            self.queue.schedule(ends_at, Event::FaultEnds { fault });
        }
        self.queue.schedule(0, Event::ClientArrives);
    }

    fn start_gateway(&mut self, process: GatewayProcess) -> EmulatedGateway {
        let zone = process.index % self.experiment.topology.zones();
        let settings = Settings {
            gateway_index: process.index,
            zone,
            ..self.settings.clone()
        };
        self.gateway_starts += 1;
        let seed = seeded_rng(self.seed, "gateway", self.gateway_starts).random();
        let library = Gateway::new(settings, seed, self.gateway_clock_ms());
        EmulatedGateway::new(library, process, zone)
    }

    fn process_events(&mut self) {
        let deadlines_ms = self
            .experiment
            .classes
            .iter()
            .map(|class| class.deadline_ms);
        let longest_deadline = ms_to_micros(deadlines_ms.fold(0.0, f64::max));
        let last_response_by = self.ends_at + longest_deadline + 2 * RESPONSE_SLACK;
        let mut progress = Progress::new();
        while let Some(event) = self.queue.pop() {
            let now = self.queue.now();
            // After the last arrival, the simulation continues until all open requests have ended or their deadlines
            // have passed.
            if now > self.ends_at && (self.open_requests.is_empty() || now > last_response_by) {
                break;
            }
            self.dispatch(event);
            progress.record_event(now);
        }
    }

    fn dispatch(&mut self, event: Event) {
        match event {
            Event::ClientArrives => self.client_arrives(),
            Event::ClientRetries(request) => self.client_retries(request),
            Event::ClientDisconnects { request } => self.client_disconnects(request),
            Event::GatewayTimerFires { process, token } => self.gateway_timer_fires(process, token),
            Event::AttemptArrives { attempt } => self.attempt_arrives(attempt),
            Event::ServiceCompleted {
                endpoint,
                generation,
                attempt,
            } => {
                self.service_completed(endpoint, generation, attempt);
            }
            Event::AttemptEnds { attempt, outcome } => self.attempt_ends(attempt, outcome),
            Event::CounterCallArrives { call, amount, ttl } => {
                self.counter_call_arrives(call, amount, ttl);
            }
            Event::CounterCallEnds {
                call,
                outcome,
                total,
            } => self.counter_call_ends(call, outcome, total),
            Event::EndpointListArrives { process } => self.endpoint_list_arrives(process),
            Event::EndpointStatusDetected { endpoint } => self.endpoint_status_detected(endpoint),
            Event::DeadlinePasses { request } => self.deadline_passes(request),
            Event::IdleConnectionCheck { gateway } => self.close_idle_connections(gateway),
            Event::FaultStarts { fault } => self.start_fault(&self.experiment.faults[fault]),
            Event::FaultEnds { fault } => self.end_fault(&self.experiment.faults[fault]),
            Event::GatewayShutsDown { gateway } => self.shut_down_gateway(gateway),
            Event::GatewayStarts { gateway } => self.restart_gateway(gateway),
            Event::EndpointsReplaced { share } => self.replace_endpoints(share),
            Event::EndpointStops { endpoint } => self.stop_drained_endpoint(endpoint),
        }
    }

    /// Current time of the gateways' clocks, in ms.
    fn gateway_clock_ms(&self) -> f64 {
        CLOCK_START_MS + self.queue.now() as f64 / 1000.0
    }

    /// Whether this process is the gateway's current one.
    fn is_running(&self, process: GatewayProcess) -> bool {
        self.gateways[process.index as usize].process == process
    }

    fn is_measuring(&self) -> bool {
        self.recorder.is_measuring(self.queue.now())
    }

    fn into_report(self) -> Report {
        let counter_keys = self.counter.as_ref().map_or(0, Counter::key_count);
        self.recorder
            .finish(&self.gateways, &self.endpoints, counter_keys)
    }
}

/// Logs the progress of a long experiment.
struct Progress {
    started_at: Instant,
    logged_at: Instant,
    events: u64,
}

impl Progress {
    fn new() -> Self {
        let now = Instant::now();
        Progress {
            started_at: now,
            logged_at: now,
            events: 0,
        }
    }

    fn record_event(&mut self, now: Micros) {
        self.events += 1;
        if self.events % EVENTS_PER_CLOCK_CHECK != 0
            || self.logged_at.elapsed() <= PROGRESS_INTERVAL
        {
            return;
        }
        self.logged_at = Instant::now();
        let emulated_s = now as f64 / 1e6;
        let real_s = self.started_at.elapsed().as_secs_f64();
        tracing::info!(
            emulated_s,
            real_s,
            events = self.events,
            "simulation in progress"
        );
    }
}
