//! Whether a gateway is ready, what it counts, and whether it has crashed.

use super::process::Gateway;
use crate::rules::Rule;
use fleet_emulator::peak_memory_kb;
use stand_ins::connection::Connection;
use stand_ins::message::Message;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

/// A restarted gateway is ready within this time.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);
const READY_REQUEST: &[u8] = b"GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
const METRICS_REQUEST: &[u8] =
    b"GET /health/metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
/// An exchange with a gateway takes no longer.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Half of the memory that a gateway may have.
const MAX_MEMORY_KB: f64 = 96.0 * 1024.0;

impl Gateway {
    /// Waits until the gateway is ready, and lets the load balancer send it clients. One that ends or takes too long is reported.
    pub async fn wait_until_ready(&mut self) {
        let started_at = Instant::now();
        while started_at.elapsed() < READY_TIMEOUT {
            if let Ok(Some(status)) = self.child.try_wait() {
                return self.report_process(&format!("ended at its start: {status}"));
            }
            let response = self.exchange(READY_REQUEST).await;
            if response.is_some_and(|response| response.status() == 200) {
                return self.launcher.directory.admit(self.index);
            }
            sleep(READY_POLL_INTERVAL).await;
        }
        self.report_process("is not ready in time");
    }

    /// The number of broken rules that the gateway has counted; none if it does not answer.
    pub async fn own_violations(&self) -> Option<u64> {
        let response = self.exchange(METRICS_REQUEST).await?;
        let text = String::from_utf8_lossy(&response.body);
        let counts = text
            .lines()
            .filter(|line| line.starts_with("gateway_rule_violations_total"));
        let numbers = counts.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok());
        Some(numbers.sum())
    }

    /// Reports a process that has crashed, or has used too much memory.
    pub fn check_process(&mut self) {
        let pid = self.child.id();
        let peak_kb = pid.map_or(0.0, |pid| peak_memory_kb(&pid.to_string()));
        if peak_kb > MAX_MEMORY_KB {
            let detail = format!("gateway {} has taken {peak_kb} kB", self.index);
            self.launcher.observations.report(Rule::Process, detail);
        }
        self.launcher
            .observations
            .record_largest("kB of memory at most", peak_kb as u64);
        if let Ok(Some(status)) = self.child.try_wait() {
            self.report_process(&format!("has crashed: {status}"));
        }
    }

    /// Reports a fault of the process, with the system calls that were made to fail.
    pub(super) fn report_process(&self, fault: &str) {
        let detail = format!("gateway {} {fault}, {:?}", self.index, self.call_faults);
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
