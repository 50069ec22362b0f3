//! Short text form of the report, as the command line prints it.

use super::Report;
use std::fmt::{Display, Formatter, Result};

impl Display for Report {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        writeln!(
            f,
            "{} seed {}: {} s, of which {} s measured",
            self.experiment, self.seed, self.seconds, self.measured_s
        )?;
        self.write_requests(f)?;
        self.write_attempts(f)?;
        self.write_fleet(f)?;
        writeln!(
            f,
            "counter: {:.3} calls per request, {} rejected or timed out; \
             endpoint list: {} changes, {} entries delivered",
            self.counter.calls_per_request,
            self.counter.timed_out + self.counter.rejected,
            self.discovery.changes,
            self.discovery.entries_delivered
        )?;
        match &self.violations.first {
            Some(first) => writeln!(
                f,
                "rules VIOLATED, {:?}; first violation: {first}",
                self.violations
            ),
            None => writeln!(f, "rules kept"),
        }
    }
}

impl Report {
    fn write_requests(&self, f: &mut Formatter<'_>) -> Result {
        let requests = &self.requests;
        let percent = |part: u64| 100.0 * part as f64 / requests.total.max(1) as f64;
        writeln!(
            f,
            "requests {}: {:.1}% served on time, {:.1}% late, {:.1}% rejected, {:.1}% failed; \
             p50 {:.1} ms, p99 {:.1} ms",
            requests.total,
            percent(requests.served_on_time),
            percent(requests.served_late),
            percent(requests.rejected),
            percent(requests.failed),
            self.latency_ms.p50,
            self.latency_ms.p99
        )
    }

    fn write_attempts(&self, f: &mut Formatter<'_>) -> Result {
        let attempts = &self.attempts;
        writeln!(
            f,
            "attempts {}: {} retries, {} rejected, {} failed to connect, {} timed out, {} new connections",
            attempts.sent,
            attempts.retries,
            attempts.rejected,
            attempts.connect_failed,
            attempts.timed_out,
            attempts.new_connections
        )
    }

    fn write_fleet(&self, f: &mut Formatter<'_>) -> Result {
        let gateways = &self.gateways;
        writeln!(
            f,
            "each gateway: {:.0} to {:.0} requests, {:.0} to {:.0} endpoints used, {:.0} connections at most",
            gateways.requests.min,
            gateways.requests.max,
            gateways.endpoints_used.min,
            gateways.endpoints_used.max,
            gateways.max_connections.max
        )?;
        let endpoints = &self.endpoints;
        let mean = endpoints.requests.mean.max(f64::MIN_POSITIVE);
        writeln!(
            f,
            "each endpoint: {:.1} requests on average, p99 {:.2} and max {:.2} times the average, {} idle; \
             {:.0} to {:.0} gateways",
            endpoints.requests.mean,
            endpoints.requests.p99 / mean,
            endpoints.requests.max / mean,
            endpoints.idle,
            endpoints.gateways.min,
            endpoints.gateways.max
        )
    }
}
