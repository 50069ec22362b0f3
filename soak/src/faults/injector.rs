//! The state that faults need, and the choice of gateways and endpoints.

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

/// Largest share of gateways or endpoints that one fault affects.
const MAX_AFFECTED_SHARE: f64 = 0.35;

/// The state of a run that faults need.
pub struct FaultContext {
    /// The settings of the run.
    pub settings: RunSettings,
    /// Collects the counters of faults, and the faults that could not be injected.
    pub observations: Rc<ObservationLog>,
    /// The state that clients share. Faults start shutdown clients with it.
    pub clients: ClientContext,
    /// The state that endpoints share.
    pub endpoints: Rc<EndpointContext>,
    /// Publishes the endpoint list and sets how discovery fails.
    pub publisher: Rc<ListPublisher>,
    /// The shared counter.
    pub counter: Rc<Counter>,
    /// The gateways, the endpoints and discovery.
    pub processes: Processes,
}

impl FaultContext {
    /// Reports a fault that could not be injected as a broken rule. Such a fault may leave a gateway stopped, so the
    /// run must not pass.
    pub fn report_failure(&self, ended: Result<Result<(), SoakError>, JoinError>) {
        if let Ok(Err(error)) = ended {
            self.observations.report(Rule::Process, error.to_string());
        }
    }
}

/// Injects one fault.
pub struct Injector {
    /// The state of the run.
    pub context: Rc<FaultContext>,
    /// Draws the details of the fault, and the gateways or endpoints that it affects.
    pub rng: ChaCha8Rng,
}

impl Injector {
    /// Draws a random subset: at least one of the elements, and at most `MAX_AFFECTED_SHARE` of them, rounded up.
    fn draw_subset<T>(&mut self, mut all: Vec<T>) -> Vec<T> {
        all.shuffle(&mut self.rng);
        let max_affected = (all.len() as f64 * MAX_AFFECTED_SHARE).ceil() as usize;
        all.truncate(self.rng.random_range(1..=max_affected.max(1)));
        all
    }

    /// Draws some of the endpoints that are listed as ready.
    pub fn draw_endpoints(&mut self) -> Vec<usize> {
        let ready = self.context.endpoints.fleet.ready();
        self.draw_subset(ready)
    }

    /// Draws some of the running gateways.
    pub fn draw_gateways(&mut self) -> Vec<usize> {
        let running = self.context.processes.running_gateways();
        self.draw_subset(running)
    }
}
