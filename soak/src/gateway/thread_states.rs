//! The states of the threads of a process, read from `/proc`.

use std::fs;
use std::path::Path;

/// Returns the names, states and system calls of all threads for a report. Values that can't be read are left out.
pub fn thread_states(pid: u32) -> String {
    let Ok(threads) = fs::read_dir(format!("/proc/{pid}/task")) else {
        return String::new();
    };
    let states: Vec<_> = threads
        .flatten()
        .map(|thread| thread_state(&thread.path()))
        .collect();
    states.join("; ")
}

fn thread_state(thread: &Path) -> String {
    let read = |file: &str| fs::read_to_string(thread.join(file)).unwrap_or_default();
    let status = read("status");
    let state = status
        .lines()
        .find_map(|line| line.strip_prefix("State:"))
        .unwrap_or("")
        .trim()
        .to_owned();
    // The first word is the number of the system call.
    let call = read("syscall").trim().to_owned();
    format!(
        "{} {state}, call {call}, {}",
        read("comm").trim(),
        read("wchan")
    )
}
