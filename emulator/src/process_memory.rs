//! Memory usage of processes, as Linux reports it in `/proc`.

/// Current resident memory of this process, in KB; 0 if the system does not report it.
pub(crate) fn resident_memory_kb() -> f64 {
    status_kb("self", "VmRSS")
}

/// Peak resident memory of a process, in KB; 0 if the system does not report it. `process` is a process id or `self`.
#[must_use]
pub fn peak_memory_kb(process: &str) -> f64 {
    status_kb(process, "VmHWM")
}

fn status_kb(process: &str, field: &str) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let value = status
        .lines()
        .find_map(|line| line.strip_prefix(field)?.strip_prefix(':'));
    value
        .and_then(|value| value.split_whitespace().next()?.parse().ok())
        .unwrap_or(0.0)
}
