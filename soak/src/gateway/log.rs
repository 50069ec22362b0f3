//! The logs of the gateways.

use crate::rules::{ObservationLog, Rule};
use std::fs::File;
use std::io::Write;
use std::rc::Rc;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::ChildStderr;

/// Reads a log to its end and reports each line about a broken rule or a panic. All lines are copied to `file`.
pub async fn read_log(
    observations: Rc<ObservationLog>,
    index: usize,
    log: ChildStderr,
    mut file: Option<File>,
) {
    let mut lines = BufReader::new(log).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        if line.contains("rule broken") || line.contains("panic") {
            observations.report(Rule::OwnCheck, format!("gateway {index}: {line}"));
        }
        if let Some(file) = &mut file {
            let _ = writeln!(file, "{line}");
        }
    }
}
