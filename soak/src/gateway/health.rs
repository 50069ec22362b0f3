//! Checks of a gateway process: readiness, its own count of broken rules, crashes and memory.

use super::process::Gateway;
use crate::rules::Rule;
use fleet_emulator::peak_memory_kb;
use stand_ins::connection::Connection;
use stand_ins::message::Message;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

/// A gateway has to be ready within this time after its start.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);
const READY_REQUEST: &[u8] = b"GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
const METRICS_REQUEST: &[u8] =
    b"GET /health/metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
/// Timeout for a health or metrics request.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest peak memory of a gateway: half of the memory that its configuration allows.
const MAX_MEMORY_KB: f64 = 96.0 * 1024.0;

impl Gateway {
    /// Waits until the gateway is ready, and then lets the load balancer send clients to it. A gateway that exits or
    /// isn't ready in time is reported.
    pub async fn wait_until_ready(&mut self) {
        let started_at = Instant::now();
        while started_at.elapsed() < READY_TIMEOUT {
            if let Ok(Some(status)) = self.child.try_wait() {
                return self.report_process_fault(&format!("exited during startup: {status}"));
            }
            let response = self.exchange(READY_REQUEST).await;
            if response.is_some_and(|response| response.status() == 200) {
                return self.launcher.directory.admit(self.index);
            }
            sleep(READY_POLL_INTERVAL).await;
        }
        self.report_process_fault(&format!("was not ready within {READY_TIMEOUT:?}"));
    }

    /// Reads the number of broken rules that the gateway has counted. `None` if the gateway doesn't respond.
    pub async fn counted_violations(&self) -> Option<u64> {
        let response = self.exchange(METRICS_REQUEST).await?;
        let text = String::from_utf8_lossy(&response.body);
        let counts = text
            .lines()
            .filter(|line| line.starts_with("gateway_rule_violations_total"));
        let numbers = counts.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok());
        Some(numbers.sum())
    }

    /// Reports a process that has crashed or has used too much memory.
    pub fn check_process(&mut self) {
        let pid = self.child.id();
        let peak_kb = pid.map_or(0.0, |pid| peak_memory_kb(&pid.to_string()));
        if peak_kb > MAX_MEMORY_KB {
            let detail = format!(
                "gateway {} used {peak_kb} kB of memory, more than {MAX_MEMORY_KB} kB",
                self.index
            );
            self.launcher.observations.report(Rule::Process, detail);
        }
        self.launcher
            .observations
            .record_largest("kB of peak memory of a gateway", peak_kb as u64);
        if let Ok(Some(status)) = self.child.try_wait() {
            self.report_process_fault(&format!("crashed: {status}"));
        }
    }

    /// Reports a fault of the process, together with the system-call faults that were injected into it.
    pub(super) fn report_process_fault(&self, fault: &str) {
        let detail = format!(
            "gateway {} {fault}; injected system-call faults: {:?}",
            self.index, self.call_faults
        );
        self.launcher.observations.report(Rule::Process, detail);
    }

    async fn exchange(&self, request: &[u8]) -> Option<Message> {
        let exchange = async {
            let stream = TcpStream::connect(self.addresses.listen).await.ok()?;
            let mut connection = Connection::new(stream);
            connection.send(request).await.ok()?;
            connection.receive().await.ok()?
        };
        timeout(EXCHANGE_TIMEOUT, exchange).await.ok().flatten()
    }
}
