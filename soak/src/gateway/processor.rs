//! Which processors a process may use.

use nix::sched::{sched_getaffinity, sched_setaffinity, CpuSet};
use nix::unistd::Pid;

/// Binds a process to one of the processors that this process may use. `number` is an index into them, modulo their
/// count.
pub fn bind_to_processor(pid: Pid, number: usize) -> std::io::Result<()> {
    let available = sched_getaffinity(Pid::from_raw(0))?;
    let allowed: Vec<_> = (0..CpuSet::count())
        .filter(|cpu| available.is_set(*cpu) == Ok(true))
        .collect();
    let mut only = CpuSet::new();
    if let Some(cpu) = allowed.get(number % allowed.len().max(1)) {
        only.set(*cpu)?;
        sched_setaffinity(pid, &only)?;
    }
    Ok(())
}
