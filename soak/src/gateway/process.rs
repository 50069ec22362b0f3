//! One gateway process, its configuration file and the signals sent to it.

use super::config::{gateway_config, Addresses};
use super::launcher::Launcher;
use super::log::read_log;
use super::processor::pin_to_processor;
use super::shutdown_plan::suspend;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::Value;
use std::future::Future;
use std::io::Write;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::process::Child;
use tokio::task::spawn_local;

/// One gateway process.
pub struct Gateway {
    pub(super) index: usize,
    pub(super) child: Child,
    pub(super) addresses: Addresses,
    pub(super) call_faults: Option<String>,
    pub(super) launcher: Rc<Launcher>,
    config_path: PathBuf,
}

impl Gateway {
    /// Starts a gateway. `call_faults` specifies the system calls that fail.
    pub fn start(
        launcher: &Rc<Launcher>,
        index: usize,
        addresses: Addresses,
        call_faults: Option<String>,
    ) -> std::io::Result<Self> {
        let config_path =
            std::env::temp_dir().join(format!("gateway-soak-{}-{index}.json", std::process::id()));
        let generation = launcher.directory.begin_generation(index);
        let seed = launcher.settings.seed ^ (index as u64) << 32 ^ u64::from(generation);
        // A gateway starts with the list that was published last.
        let known = serde_json::from_str(&launcher.publisher.last_published()).unwrap_or_default();
        let config = gateway_config(index, launcher.common_config, &addresses, &known, seed);
        std::fs::write(&config_path, config.to_string())?;
        let mut command = launcher.command(&config_path, call_faults.as_deref());
        let mut child = command.spawn()?;
        let gateways_per_processor = launcher.settings.scenario.gateways_per_processor;
        if let (Some(pid), Some(gateways_per_processor)) = (pid_of(&child), gateways_per_processor)
        {
            pin_to_processor(pid, index / gateways_per_processor)?;
        }
        if let Some(log) = child.stderr.take() {
            let file = launcher.open_log(index, generation);
            spawn_local(read_log(launcher.observations.clone(), index, log, file));
        }
        Ok(Gateway {
            index,
            child,
            addresses,
            call_faults,
            launcher: launcher.clone(),
            config_path,
        })
    }

    /// The number of the gateway, which stays the same when the gateway is restarted.
    pub fn index(&self) -> usize {
        self.index
    }

    /// The addresses in the gateway's latest valid configuration.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// The process id. `None` once the process has ended and was waited for.
    pub(super) fn pid(&self) -> Option<Pid> {
        pid_of(&self.child)
    }

    pub(super) fn signal(&self, signal: Signal) {
        if let Some(pid) = self.pid() {
            // A signal to a process that has just ended fails.
            let _ = kill(pid, signal);
        }
    }

    /// Suspends the process for `duration`. The process may end in the meantime.
    pub fn stall(&self, duration: Duration) -> impl Future<Output = ()> {
        let pid = self.pid();
        async move {
            if let Some(pid) = pid {
                suspend(pid, duration).await;
            }
        }
    }

    /// Replaces the configuration by one with these addresses, and sends SIGHUP.
    pub fn reload(&mut self, addresses: Addresses) -> std::io::Result<()> {
        let launcher = &self.launcher;
        let seed = launcher.settings.seed;
        let config = gateway_config(
            self.index,
            launcher.common_config,
            &addresses,
            &Value::Null,
            seed,
        );
        self.write_config(&config.to_string())?;
        self.addresses = addresses;
        self.launcher.notices.record_reload(self.index);
        self.signal(Signal::SIGHUP);
        Ok(())
    }

    /// Replaces the configuration by the invalid `text`, and sends SIGHUP.
    pub fn reload_invalid(&self, text: &str) -> std::io::Result<()> {
        self.write_config(text)?;
        self.signal(Signal::SIGHUP);
        Ok(())
    }

    /// Replaces the configuration file atomically, so that a gateway reads either the previous or the new file.
    fn write_config(&self, text: &str) -> std::io::Result<()> {
        let new = self.config_path.with_extension("new");
        std::fs::File::create(&new)?.write_all(text.as_bytes())?;
        std::fs::rename(new, &self.config_path)
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        // A file that remains in the temporary folder does no harm.
        let _ = std::fs::remove_file(&self.config_path);
    }
}

fn pid_of(child: &Child) -> Option<Pid> {
    child.id().map(|pid| Pid::from_raw(pid as i32))
}
