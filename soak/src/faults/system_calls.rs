//! Draws the system calls of a process that fail.

use rand::seq::IndexedRandom;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// The faults, in the syntax of the library that injects them (`tests/shim/syscall_faults.c`). A value is a rate per
/// thousand calls, or an offset of the wall clock in seconds.
const CALL_FAULTS: [&str; 14] = [
    "recv_eintr=20",
    "send_eintr=20",
    "recv_nomem=20",
    "send_nobufs=20",
    "recv_short=200",
    "send_short=200",
    "epoll_eintr=20",
    "accept_abort=300",
    "accept_full=100",
    "connect_fail=30",
    "socket_fail=30",
    "unix_eintr=100",
    "wall_clock_s=3600",
    "wall_clock_s=-7",
];
/// Number of different faults in one process.
const FAULTS_PER_PROCESS: usize = 3;

/// Draws the system-call faults of a process. `None` for half of the processes.
pub fn draw_call_faults(rng: &mut ChaCha8Rng) -> Option<String> {
    if rng.random() {
        return None;
    }
    let chosen: Vec<_> = CALL_FAULTS
        .choose_multiple(rng, FAULTS_PER_PROCESS)
        .copied()
        .collect();
    Some(format!(
        "seed={},{}",
        rng.random_range(1..1000),
        chosen.join(",")
    ))
}
