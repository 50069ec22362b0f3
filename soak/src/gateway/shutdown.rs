//! The end of a gateway, by SIGTERM or by SIGKILL.

use super::config::Addresses;
use super::process::Gateway;
use super::shutdown_plan::ShutdownPlan;
use super::thread_states::thread_states;
use crate::gateway_directory::{GatewayDirectory, LOAD_BALANCER_DELAY};
use nix::sys::signal::Signal;
use std::rc::Rc;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, timeout_at, Instant};

impl Gateway {
    /// Ends the process by SIGTERM; the load balancer notices a moment later, and SIGKILL comes as early as it may.
    pub async fn terminate(mut self, plan: ShutdownPlan) -> Addresses {
        let terminated_at = Instant::now();
        let directory = self.launcher.directory.clone();
        directory.record_termination(self.index, terminated_at);
        self.signal(Signal::SIGTERM);
        let disturbing = self
            .pid()
            .map(|pid| spawn_local(plan.carry_out(pid, terminated_at)));
        let withdrawal = spawn_local(withdraw_from_load_balancer(directory, self.index));
        let kill_at = terminated_at + self.launcher.settings.scenario.kill_after();
        let ended = timeout_at(kill_at, self.child.wait()).await;
        // No signal is sent to a process that has ended: its id may be another one's soon.
        disturbing.iter().for_each(JoinHandle::abort);
        match ended {
            Ok(Ok(status)) if status.success() => {}
            Ok(status) => self.report_process(&format!("ended with {status:?}")),
            Err(_) => self.kill_late(plan).await,
        }
        let _ = withdrawal.await;
        self.launcher.observations.count("planned restarts");
        self.addresses
    }

    /// Kills a process that did not end by itself in time, and reports it.
    async fn kill_late(&mut self, plan: ShutdownPlan) {
        let threads = self.child.id().map(thread_states).unwrap_or_default();
        self.report_process(&format!(
            "is still there when it is killed, {plan}, threads: {threads}"
        ));
        self.signal(Signal::SIGKILL);
        let _ = self.child.wait().await;
    }

    /// Kills the process; the load balancer notices a moment later.
    pub async fn kill(mut self) -> Addresses {
        let directory = self.launcher.directory.clone();
        directory.record_kill(self.index);
        self.signal(Signal::SIGKILL);
        let _ = self.child.wait().await;
        withdraw_from_load_balancer(directory, self.index).await;
        self.launcher.observations.count("kills");
        self.addresses
    }
}

/// The load balancer sends no more clients after a moment.
async fn withdraw_from_load_balancer(directory: Rc<GatewayDirectory>, index: usize) {
    sleep(LOAD_BALANCER_DELAY).await;
    directory.withdraw(index);
}
