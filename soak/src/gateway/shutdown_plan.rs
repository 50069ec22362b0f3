//! What happens to a process while it ends.

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::fmt::{Display, Formatter};
use std::time::Duration;
use tokio::time::{sleep, sleep_until, Instant};

/// A process may stall for this long, at any point.
pub const STALL: Duration = Duration::from_millis(150);
/// Pause between two signals of a series.
const SIGNAL_INTERVAL: Duration = Duration::from_millis(30);

/// What happens to a process between SIGTERM and its end, beside its clients.
#[derive(Clone, Copy, Debug, Default)]
pub struct ShutdownPlan {
    /// It stalls once, this long after SIGTERM.
    stall_after: Option<Duration>,
    /// SIGHUP and SIGTERM come again and again.
    repeats_signals: bool,
}

impl ShutdownPlan {
    /// One for a process that is killed after this time.
    pub fn draw(rng: &mut ChaCha8Rng, kill_after: Duration, repeats_signals: bool) -> Self {
        let stall_after = rng.random_range(Duration::ZERO..kill_after);
        ShutdownPlan {
            stall_after: rng.random::<bool>().then_some(stall_after),
            repeats_signals,
        }
    }

    /// Carries the plan out, until it is aborted.
    pub async fn carry_out(self, pid: Pid, terminated_at: Instant) {
        tokio::join!(self.stall(pid, terminated_at), self.repeat_signals(pid));
    }

    async fn stall(self, pid: Pid, terminated_at: Instant) {
        if let Some(after) = self.stall_after {
            sleep_until(terminated_at + after).await;
            suspend(pid, STALL).await;
        }
    }

    async fn repeat_signals(self, pid: Pid) {
        if !self.repeats_signals {
            return;
        }
        for signal in [Signal::SIGHUP, Signal::SIGTERM].into_iter().cycle() {
            sleep(SIGNAL_INTERVAL).await;
            // It fails for a process that has just ended.
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

/// Suspends a process for a time. It may end meanwhile.
pub async fn suspend(pid: Pid, duration: Duration) {
    // Signals fail for a process that has just ended.
    let _ = kill(pid, Signal::SIGSTOP);
    sleep(duration).await;
    let _ = kill(pid, Signal::SIGCONT);
}
