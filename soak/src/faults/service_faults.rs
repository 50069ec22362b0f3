//! Faults of the services that gateways call: discovery and the shared counter.

use super::injector::Injector;
use rand::seq::IndexedRandom;
use stand_ins::service_mode::ServiceMode;
use std::time::Duration;
use tokio::time::sleep;

const DISCOVERY_FAULTS: [ServiceMode; 3] = [
    ServiceMode::Silent,
    ServiceMode::Closes,
    ServiceMode::Rejects,
];
const COUNTER_FAULTS: [ServiceMode; 4] = [
    ServiceMode::Silent,
    ServiceMode::Closes,
    ServiceMode::Rejects,
    ServiceMode::Malformed,
];

impl Injector {
    /// Lets discovery fail for `duration`.
    pub async fn fail_discovery(mut self, duration: Duration) {
        let mode = self.draw_mode(&DISCOVERY_FAULTS);
        self.set_discovery_mode(mode);
        sleep(duration).await;
        self.set_discovery_mode(ServiceMode::Available);
    }

    fn set_discovery_mode(&self, mode: ServiceMode) {
        self.context.endpoints.notices.record_discovery_mode(mode);
        self.context.publisher.set_mode(mode);
    }

    /// Lets the counter fail for `duration`.
    pub async fn fail_counter(mut self, duration: Duration) {
        let mode = self.draw_mode(&COUNTER_FAULTS);
        self.context.counter.set_mode(mode);
        sleep(duration).await;
        self.context.counter.set_mode(ServiceMode::Available);
    }

    fn draw_mode(&mut self, modes: &[ServiceMode]) -> ServiceMode {
        modes
            .choose(&mut self.rng)
            .copied()
            .unwrap_or(ServiceMode::Silent)
    }
}
