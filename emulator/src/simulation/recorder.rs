//! Collects the values of the report during the simulation.

use super::gateway::EmulatedGateway;
use crate::endpoint::{EmulatedEndpoint, EndpointStatus};
use crate::experiment::Experiment;
use crate::report::{Distribution, Report, Window};
use crate::{ms_to_micros, Micros};
use hdrhistogram::Histogram;

/// Length of a time window of the report.
const WINDOW: Micros = 5_000_000;
/// Largest latency that is recorded; larger ones are recorded as this value.
const MAX_LATENCY: Micros = 3_600_000_000;
/// Significant decimal digits of the recorded latencies.
const LATENCY_DIGITS: u8 = 3;

pub(super) struct Recorder {
    pub(super) report: Report,
    latency: Histogram<u64>,
    measure_from: Micros,
}

impl Recorder {
    pub(super) fn new(experiment: &Experiment, seed: u64) -> Self {
        let report = Report {
            experiment: experiment.name.clone(),
            seed,
            seconds: experiment.seconds,
            measured_s: experiment.seconds - experiment.measure_from_s,
            ..Report::default()
        };
        Recorder {
            report,
            latency: latency_histogram(),
            measure_from: ms_to_micros(experiment.measure_from_s * 1000.0),
        }
    }

    pub(super) fn is_measuring(&self, now: Micros) -> bool {
        now >= self.measure_from
    }

    /// The report's time window at `now`. Missing windows up to then are added.
    pub(super) fn window(&mut self, now: Micros) -> &mut Window {
        let windows = &mut self.report.windows;
        let index = (now / WINDOW) as usize;
        while windows.len() <= index {
            let from_s = (windows.len() as u64 * WINDOW) as f64 / 1e6;
            windows.push(Window {
                from_s,
                ..Window::default()
            });
        }
        &mut windows[index]
    }

    pub(super) fn record_latency(&mut self, latency: Micros) {
        self.latency.saturating_record(latency.max(1));
    }

    /// Adds the values that are known only at the end, and returns the report.
    pub(super) fn finish(
        mut self,
        gateways: &[EmulatedGateway],
        endpoints: &[EmulatedEndpoint],
        counter_keys: usize,
    ) -> Report {
        self.report.latency_ms = Distribution::of_micros(&self.latency);
        self.finish_gateways(gateways);
        self.finish_endpoints(gateways, endpoints);
        let requests = self.report.requests.total.max(1);
        self.report.counter.calls_per_request = self.report.counter.calls as f64 / requests as f64;
        self.report.counter.keys = counter_keys as u64;
        self.report
    }

    fn finish_gateways(&mut self, gateways: &[EmulatedGateway]) {
        let over_gateways = |value: fn(&EmulatedGateway) -> f64| {
            Distribution::of(gateways.iter().map(value).collect())
        };
        let stats = &mut self.report.gateways;
        stats.requests = over_gateways(|gateway| gateway.stats.requests as f64);
        stats.endpoints_used =
            over_gateways(|gateway| gateway.stats.attempts_by_endpoint.len() as f64);
        stats.max_connections = over_gateways(|gateway| f64::from(gateway.stats.max_connections));
        stats.customers = over_gateways(|gateway| gateway.library.customer_count() as f64);
    }

    fn finish_endpoints(&mut self, gateways: &[EmulatedGateway], endpoints: &[EmulatedEndpoint]) {
        let mut gateways_by_endpoint = vec![0u32; endpoints.len()];
        for gateway in gateways {
            for endpoint in gateway.stats.attempts_by_endpoint.keys() {
                gateways_by_endpoint[*endpoint as usize] += 1;
            }
        }
        let running: Vec<usize> = (0..endpoints.len())
            .filter(|index| endpoints[*index].status == EndpointStatus::Running)
            .collect();
        let over_running = |value: &dyn Fn(usize) -> f64| {
            Distribution::of(running.iter().map(|index| value(*index)).collect())
        };
        let stats = &mut self.report.endpoints;
        stats.requests = over_running(&|index| endpoints[index].requests as f64);
        stats.idle = running
            .iter()
            .filter(|index| endpoints[**index].requests == 0)
            .count() as u64;
        stats.gateways = over_running(&|index| f64::from(gateways_by_endpoint[index]));
        stats.connections = over_running(&|index| f64::from(endpoints[index].connections));
    }
}

fn latency_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY, LATENCY_DIGITS)
        .expect("the histogram's bounds are valid constants")
}
