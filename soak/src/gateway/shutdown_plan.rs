//! The faults that a process is exposed to during its shutdown.

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::fmt::{Display, Formatter};
use std::time::Duration;
use tokio::time::{sleep, sleep_until, Instant};

/// Length of a stall, for which the process is suspended.
pub const STALL_DURATION: Duration = Duration::from_millis(150);
/// Pause between two signals of a series.
const SIGNAL_INTERVAL: Duration = Duration::from_millis(30);

/// The faults between SIGTERM and the end of a process, in addition to the load of its clients.
#[derive(Clone, Copy, Debug, Default)]
pub struct ShutdownPlan {
    /// The process stalls once, this long after SIGTERM. `None` if the process doesn't stall.
    stall_after: Option<Duration>,
    /// SIGHUP and SIGTERM are sent repeatedly.
    repeats_signals: bool,
}

impl ShutdownPlan {
    /// Draws a plan for a process that is killed `kill_after` after SIGTERM.
    pub fn draw(rng: &mut ChaCha8Rng, kill_after: Duration, repeats_signals: bool) -> Self {
        let stall_after = rng.random_range(Duration::ZERO..kill_after);
        ShutdownPlan {
            stall_after: rng.random::<bool>().then_some(stall_after),
            repeats_signals,
        }
    }

    /// Injects the faults of the plan. With repeated signals this runs until it is aborted.
    pub async fn run(self, pid: Pid, terminated_at: Instant) {
        tokio::join!(self.stall(pid, terminated_at), self.repeat_signals(pid));
    }

    async fn stall(self, pid: Pid, terminated_at: Instant) {
        if let Some(after) = self.stall_after {
            sleep_until(terminated_at + after).await;
            suspend(pid, STALL_DURATION).await;
        }
    }

    async fn repeat_signals(self, pid: Pid) {
        if !self.repeats_signals {
            return;
        }
        for signal in [Signal::SIGHUP, Signal::SIGTERM].into_iter().cycle() {
            sleep(SIGNAL_INTERVAL).await;
            // A signal to a process that has just ended fails.
            let _ = kill(pid, signal);
        }
    }
}

impl Display for ShutdownPlan {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        match self.stall_after {
            Some(after) => write!(formatter, "stall after {after:?}")?,
            None => write!(formatter, "no stall")?,
        }
        write!(formatter, ", signals in series: {}", self.repeats_signals)
    }
}

/// Suspends a process for `duration`. The process may end in the meantime.
pub async fn suspend(pid: Pid, duration: Duration) {
    // A signal to a process that has just ended fails.
    let _ = kill(pid, Signal::SIGSTOP);
    sleep(duration).await;
    let _ = kill(pid, Signal::SIGCONT);
}
