//! What an injected fault needs, and what it draws.

use super::processes::Processes;
use crate::clients::ClientContext;
use crate::endpoint::EndpointContext;
use crate::error::SoakError;
use crate::rules::{ObservationLog, Rule};
use crate::settings::RunSettings;
use rand::seq::SliceRandom;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use stand_ins::counter::Counter;
use stand_ins::list_publisher::ListPublisher;
use std::rc::Rc;
use tokio::task::JoinError;

/// Largest share of gateways or endpoints that one fault meets.
const MAX_SHARE: f64 = 0.35;

/// What faults need of a run.
pub struct FaultContext {
    /// What was set for the run.
    pub settings: RunSettings,
    /// Gets counts, and faults that could not be injected.
    pub observations: Rc<ObservationLog>,
    /// For the clients of gateways that end.
    pub clients: ClientContext,
    /// For endpoints that are replaced.
    pub endpoints: Rc<EndpointContext>,
    /// The list, and how discovery fails.
    pub publisher: Rc<ListPublisher>,
    /// The shared counter.
    pub counter: Rc<Counter>,
    /// Gateways and endpoints.
    pub processes: Processes,
}

impl FaultContext {
    /// A fault that could not be injected may leave a gateway ended: it counts as a broken rule, so that the run does
    /// not pass.
    pub fn report_failure(&self, ended: Result<Result<(), SoakError>, JoinError>) {
        if let Ok(Err(error)) = ended {
            self.observations.report(Rule::Process, error.to_string());
        }
    }
}

/// Injects one fault.
pub struct Injector {
    /// What it needs of the run.
    pub context: Rc<FaultContext>,
    /// Draws how and on what.
    pub rng: ChaCha8Rng,
}

impl Injector {
    /// A random part of these, one at least.
    fn draw_subset<T>(&mut self, mut all: Vec<T>) -> Vec<T> {
        all.shuffle(&mut self.rng);
        let most = (all.len() as f64 * MAX_SHARE).ceil() as usize;
        all.truncate(self.rng.random_range(1..=most.max(1)));
        all
    }

    /// Endpoints that take requests.
    pub fn draw_endpoints(&mut self) -> Vec<usize> {
        let ready = self.context.endpoints.fleet.ready();
        self.draw_subset(ready)
    }

    /// Gateways that run.
    pub fn draw_gateways(&mut self) -> Vec<usize> {
        let running = self.context.processes.running_gateways();
        self.draw_subset(running)
    }
}
