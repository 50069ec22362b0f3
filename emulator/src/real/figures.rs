//! Measurements of a run and their summary.

use super::arguments::RealRun;
use super::clients::ResponseStats;
use super::gateway_process::{GatewayProcess, Usage};
use super::stand_ins::{StandIns, TrafficCounts};
use crate::report::Distribution;
use std::fmt::{Display, Formatter};

/// Resource usage of the processes and traffic of the stand-ins at one time.
pub(super) struct Snapshot {
    usage: Vec<Usage>,
    traffic: TrafficCounts,
}

impl Snapshot {
    pub(super) fn take(gateways: &[GatewayProcess], stand_ins: &StandIns) -> Self {
        let usage = gateways.iter().map(GatewayProcess::usage).collect();
        Snapshot {
            usage,
            traffic: stand_ins.traffic(),
        }
    }

    fn processor_s(&self) -> f64 {
        self.usage.iter().map(|usage| usage.processor_s).sum()
    }

    fn largest(&self, value: fn(&Usage) -> f64) -> f64 {
        self.usage.iter().map(value).fold(0.0, f64::max)
    }
}

/// Report of a run. Rates and shares are means over the gateways.
pub struct RealRunReport {
    gateways: u32,
    endpoints: u32,
    requests_per_s: u32,
    service_ms: u32,
    ready_s: f64,
    list_calls: u64,
    list_kb: f64,
    idle_list_bytes_per_s: f64,
    idle_core_percent: f64,
    load_core_percent: f64,
    processor_us_per_request: f64,
    peak_memory_mb: f64,
    descriptors: f64,
    served: u64,
    not_served: u64,
    latency_ms: Distribution,
    counter_calls_per_request: f64,
    bytes_per_counter_call: f64,
    counter_bytes_per_s: f64,
}

impl RealRunReport {
    /// Creates the report from the snapshots at the start, after the idle phase, and after the load phase.
    pub(super) fn new(
        run: &RealRun,
        ready_s: f64,
        [at_start, after_idle, after_load]: [Snapshot; 3],
        responses: ResponseStats,
    ) -> Self {
        let gateway_seconds = f64::from(run.seconds) * f64::from(run.gateways);
        let requests = (responses.served + responses.not_served).max(1) as f64;
        let idle_processor_s = after_idle.processor_s() - at_start.processor_s();
        let load_processor_s = after_load.processor_s() - after_idle.processor_s();
        let counter_calls =
            (after_load.traffic.counter.calls - after_idle.traffic.counter.calls) as f64;
        let counter_bytes =
            (after_load.traffic.counter.bytes - after_idle.traffic.counter.bytes) as f64;
        let idle_list_bytes = (after_idle.traffic.list.bytes - at_start.traffic.list.bytes) as f64;
        RealRunReport {
            gateways: run.gateways,
            endpoints: run.endpoints,
            requests_per_s: run.requests_per_s,
            service_ms: run.service_ms,
            ready_s,
            list_calls: after_load.traffic.list.calls,
            list_kb: at_start.traffic.list.bytes as f64 / 1000.0,
            idle_list_bytes_per_s: idle_list_bytes / gateway_seconds,
            idle_core_percent: 100.0 * idle_processor_s / gateway_seconds,
            load_core_percent: 100.0 * load_processor_s / gateway_seconds,
            processor_us_per_request: 1e6 * load_processor_s / requests,
            peak_memory_mb: after_load.largest(|usage| usage.peak_memory_kb) / 1000.0,
            descriptors: after_load.largest(|usage| usage.descriptors),
            served: responses.served,
            not_served: responses.not_served,
            latency_ms: Distribution::of(responses.latencies_ms),
            counter_calls_per_request: counter_calls / requests,
            bytes_per_counter_call: counter_bytes / counter_calls.max(1.0),
            counter_bytes_per_s: counter_bytes / gateway_seconds,
        }
    }
}

impl Display for RealRunReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        writeln!(
            f,
            "{} gateways, {} endpoints, {} requests per second each: all ready after {:.2} s",
            self.gateways, self.endpoints, self.requests_per_s, self.ready_s
        )?;
        writeln!(
            f,
            "discovery: {} calls in total, {:.0} KB at the start; idle {:.1} bytes per second and gateway",
            self.list_calls, self.list_kb, self.idle_list_bytes_per_s
        )?;
        writeln!(
            f,
            "CPU per gateway: idle {:.4}% of a core; under load {:.2}%, {:.0} us per request",
            self.idle_core_percent, self.load_core_percent, self.processor_us_per_request
        )?;
        writeln!(
            f,
            "per gateway at most: memory {:.1} MB; {:.0} descriptors",
            self.peak_memory_mb, self.descriptors
        )?;
        writeln!(
            f,
            "requests: {} served, {} not served; p50 {:.1} ms, p99 {:.1} ms, including {} ms of service time",
            self.served, self.not_served, self.latency_ms.p50, self.latency_ms.p99, self.service_ms
        )?;
        writeln!(
            f,
            "counter: {:.3} calls per request, {:.0} bytes per call both ways, {:.0} bytes per second and gateway",
            self.counter_calls_per_request, self.bytes_per_counter_call, self.counter_bytes_per_s
        )
    }
}
