//! Handling of SIGTERM and SIGHUP.
//!
//! Guards against two failures. The runtime's own signal handling panics if a read of its pipe is interrupted, which
//! ends the process. And the byte that wakes the waiting task may be lost, as a write to a pipe can fail: the process
//! would not notice the signal, and SIGKILL would follow without a shutdown. Here the handler sets a flag before it
//! writes to the pipe. The pipe only wakes the task. The flag records the signal, and the task also reads it at
//! intervals.

use nix::libc::c_int;
use signal_hook::consts::{SIGHUP, SIGTERM};
use signal_hook::{flag, low_level};
use std::io::{self, ErrorKind};
use std::os::unix::net::UnixStream as BlockingUnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UnixStream;
use tokio::time::timeout;

#[cfg(test)]
mod tests;

/// Interval at which the flag is read without a wake-up: a signal whose byte was lost is noticed after this time at the
/// latest. The times of the shutdown are counted from then, so this must be less than the time that
/// `lifecycle::timeline` plans for a stall. After such a delay no time is left for a full stall in the same shutdown.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Number of bytes read from the pipe at once; each signal writes one byte.
const PIPE_READ_BYTES: usize = 64;

/// The signals that the program handles, recorded from their registration on.
pub struct Signals {
    /// SIGTERM: shut down gracefully.
    pub terminate: RegisteredSignal,
    /// SIGHUP: reload the configuration.
    pub hangup: RegisteredSignal,
}

impl Signals {
    /// Registers the handlers. A signal that arrives earlier ends the process by the system's default action, so the
    /// program calls this first.
    ///
    /// # Errors
    ///
    /// Fails if the system refuses a handler or a pipe.
    pub fn register() -> io::Result<Self> {
        Ok(Signals {
            terminate: RegisteredSignal::new(SIGTERM)?,
            hangup: RegisteredSignal::new(SIGHUP)?,
        })
    }
}

/// A signal that is recorded until a task waits for it.
pub struct RegisteredSignal {
    received: Arc<AtomicBool>,
    pipe: BlockingUnixStream,
}

impl RegisteredSignal {
    fn new(signal: c_int) -> io::Result<Self> {
        let received = Arc::new(AtomicBool::new(false));
        flag::register(signal, received.clone())?;
        let (pipe, handler_end) = BlockingUnixStream::pair()?;
        pipe.set_nonblocking(true)?;
        low_level::pipe::register(signal, handler_end)?;
        Ok(RegisteredSignal { received, pipe })
    }

    /// Converts to a stream on which a task of the runtime waits for the signal.
    ///
    /// # Errors
    ///
    /// Fails if the runtime can't watch the pipe.
    pub fn listen(self) -> io::Result<SignalStream> {
        Ok(SignalStream {
            received: self.received,
            pipe: UnixStream::from_std(self.pipe)?,
        })
    }
}

/// The receiving end of one kind of signal.
pub struct SignalStream {
    /// Set by the handler before it writes to the pipe.
    received: Arc<AtomicBool>,
    /// Becomes readable when the signal arrives.
    pipe: UnixStream,
}

impl SignalStream {
    /// Waits for the signal. Several signals that arrived since the last call count as one.
    pub async fn recv(&mut self) {
        while !self.received.swap(false, Ordering::SeqCst) {
            // The flag says whether the signal has arrived, whatever this wait returns.
            let _ = timeout(CHECK_INTERVAL, self.pipe.readable()).await;
            self.drain_pipe();
        }
    }

    fn drain_pipe(&self) {
        let mut buffer = [0; PIPE_READ_BYTES];
        loop {
            match self.pipe.try_read(&mut buffer) {
                Ok(bytes) if bytes > 0 => {}
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                _ => return,
            }
        }
    }
}
