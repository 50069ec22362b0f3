//! How gateways are started, and what they share with the rest of the run.

use super::config::Site;
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

/// How to start gateways, and who learns of what they do.
pub struct Launcher {
    /// The program.
    pub program: PathBuf,
    /// What all configurations have in common.
    pub site: Site,
    /// The library that makes system calls fail, if any.
    pub faults_library: Option<PathBuf>,
    /// Where logs go, if anywhere.
    pub log_folder: Option<PathBuf>,
    /// What was set for the run.
    pub settings: RunSettings,
    /// Gets the faults of processes.
    pub observations: Rc<ObservationLog>,
    /// What clients know of the gateways.
    pub directory: Rc<GatewayDirectory>,
    /// The list that gateways start with.
    pub publisher: Rc<ListPublisher>,
    /// Learns of reloads.
    pub notices: Rc<NoticeTimes>,
}

impl Launcher {
    /// The command that starts a gateway. `call_faults` says which of its system calls fail.
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

    /// The file for a process's log; none if logs go nowhere.
    pub fn open_log(&self, index: usize, generation: u32) -> Option<File> {
        let folder = self.log_folder.as_deref()?;
        std::fs::create_dir_all(folder).ok()?;
        File::create(folder.join(format!("gateway-{index}-{generation}.log"))).ok()
    }
}
