//! The end of a gateway process by SIGTERM or by SIGKILL.

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
    /// Ends the process by SIGTERM. The load balancer stops sending clients after `LOAD_BALANCER_DELAY`, and SIGKILL
    /// follows at the earliest time that the protocol permits. Returns the addresses for the next process.
    pub async fn terminate(mut self, plan: ShutdownPlan) -> Addresses {
        let terminated_at = Instant::now();
        let directory = self.launcher.directory.clone();
        directory.record_termination(self.index, terminated_at);
        self.signal(Signal::SIGTERM);
        let plan_task = self
            .pid()
            .map(|pid| spawn_local(plan.run(pid, terminated_at)));
        let withdrawal = spawn_local(withdraw_from_load_balancer(directory, self.index));
        let kill_at = terminated_at + self.launcher.settings.scenario.kill_after();
        let ended = timeout_at(kill_at, self.child.wait()).await;
        // No signal may be sent to a process that has ended, as the system may reuse its id.
        plan_task.iter().for_each(JoinHandle::abort);
        match ended {
            Ok(Ok(status)) if status.success() => {}
            Ok(status) => self.report_process_fault(&format!("exited with {status:?}")),
            Err(_) => self.kill_overdue(plan).await,
        }
        let _ = withdrawal.await;
        self.launcher.observations.increment("planned restarts");
        self.addresses
    }

    /// Kills and reports a process that did not exit in time.
    async fn kill_overdue(&mut self, plan: ShutdownPlan) {
        let threads = self.child.id().map(thread_states).unwrap_or_default();
        self.report_process_fault(&format!(
            "had not exited when SIGKILL was due, {plan}, threads: {threads}"
        ));
        self.signal(Signal::SIGKILL);
        let _ = self.child.wait().await;
    }

    /// Kills the process by SIGKILL. The load balancer stops sending clients after `LOAD_BALANCER_DELAY`. Returns the
    /// addresses for the next process.
    pub async fn kill(mut self) -> Addresses {
        let directory = self.launcher.directory.clone();
        directory.record_kill(self.index);
        self.signal(Signal::SIGKILL);
        let _ = self.child.wait().await;
        withdraw_from_load_balancer(directory, self.index).await;
        self.launcher.observations.increment("kills");
        self.addresses
    }
}

/// Withdraws the gateway from the load balancer after `LOAD_BALANCER_DELAY`.
async fn withdraw_from_load_balancer(directory: Rc<GatewayDirectory>, index: usize) {
    sleep(LOAD_BALANCER_DELAY).await;
    directory.withdraw(index);
}
