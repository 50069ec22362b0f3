//! The processor affinity of a process.

use nix::sched::{sched_getaffinity, sched_setaffinity, CpuSet};
use nix::unistd::Pid;

/// Restricts a process to one of the processors that this process may use. `number` modulo the count of these
/// processors selects the processor.
pub fn pin_to_processor(pid: Pid, number: usize) -> std::io::Result<()> {
    let available = sched_getaffinity(Pid::from_raw(0))?;
    let allowed: Vec<_> = (0..CpuSet::count())
        .filter(|cpu| available.is_set(*cpu) == Ok(true))
        .collect();
    let mut selected = CpuSet::new();
    if let Some(cpu) = allowed.get(number % allowed.len().max(1)) {
        selected.set(*cpu)?;
        sched_setaffinity(pid, &selected)?;
    }
    Ok(())
}
