//! The command that starts a gateway, and the state that all gateways of a run share.

use super::config::CommonConfig;
use crate::gateway_directory::GatewayDirectory;
use crate::notices::NoticeTimes;
use crate::rules::ObservationLog;
use crate::settings::RunSettings;
use stand_ins::list_publisher::ListPublisher;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use tokio::process::Command;

/// The command, settings and shared state with which gateways are started.
pub struct Launcher {
    /// Path of the gateway program.
    pub program: PathBuf,
    /// The settings that all gateways have in common.
    pub common_config: CommonConfig,
    /// The preloaded library that makes system calls fail, if any.
    pub faults_library: Option<PathBuf>,
    /// The folder for the gateways' logs. `None` if logs aren't kept.
    pub log_folder: Option<PathBuf>,
    /// The settings of the run.
    pub settings: RunSettings,
    /// Collects the faults of processes.
    pub observations: Rc<ObservationLog>,
    /// The addresses and states of the gateways, as clients know them.
    pub directory: Rc<GatewayDirectory>,
    /// Publishes the endpoint list. Gateways start with the list that was published last.
    pub publisher: Rc<ListPublisher>,
    /// Records the reloads of gateways.
    pub notices: Rc<NoticeTimes>,
}

impl Launcher {
    /// Returns the command that starts a gateway. `call_faults` specifies the system calls that fail, in the form of
    /// `tests/shim/syscall_faults.c`.
    pub fn command(&self, config_path: &Path, call_faults: Option<&str>) -> Command {
        let mut command = Command::new(&self.program);
        command
            .env("RELAY_CONFIG", config_path)
            .env("RELAY_LOG", self.log_level());
        if let (Some(library), Some(call_faults)) = (&self.faults_library, call_faults) {
            command
                .env("LD_PRELOAD", library)
                .env("GATEWAY_FAULTS", call_faults);
        }
        command
            .stdin(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true);
        command
    }

    fn log_level(&self) -> &'static str {
        if self.log_folder.is_some() {
            "debug"
        } else {
            "info"
        }
    }

    /// Creates the log file of a process. `None` if logs aren't kept or the file can't be created.
    pub fn open_log(&self, index: usize, generation: u32) -> Option<File> {
        let folder = self.log_folder.as_deref()?;
        std::fs::create_dir_all(folder).ok()?;
        File::create(folder.join(format!("gateway-{index}-{generation}.log"))).ok()
    }
}
