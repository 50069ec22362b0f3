//! SIGTERM and SIGHUP. The runtime's own way to signals panics if reading its pipe is interrupted.

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

/// A signal whose byte in the pipe was lost is noticed after this.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Bytes read from the pipe at a time; each signal writes one.
const PIPE_READ_BYTES: usize = 64;

/// One kind of signal. It is kept from the moment on in which this was made.
pub struct SignalStream {
    /// Set by the handler, and before it writes into the pipe.
    received: Arc<AtomicBool>,
    /// Becomes readable with a signal.
    pipe: UnixStream,
}

impl SignalStream {
    /// SIGTERM: end in an orderly way.
    pub fn terminate() -> io::Result<Self> {
        SignalStream::new(SIGTERM)
    }

    /// SIGHUP: read the configuration anew.
    pub fn hangup() -> io::Result<Self> {
        SignalStream::new(SIGHUP)
    }

    fn new(signal: c_int) -> io::Result<Self> {
        let received = Arc::new(AtomicBool::new(false));
        flag::register(signal, received.clone())?;
        let (pipe, handler_end) = BlockingUnixStream::pair()?;
        pipe.set_nonblocking(true)?;
        low_level::pipe::register(signal, handler_end)?;
        Ok(SignalStream { received, pipe: UnixStream::from_std(pipe)? })
    }

    /// Waits for the signal. Several that came since the last one was waited for count as one.
    pub async fn recv(&mut self) {
        while !self.received.swap(false, Ordering::SeqCst) {
            // The pipe only wakes this task; what happened is in the flag.
            let _ = timeout(CHECK_INTERVAL, self.pipe.readable()).await;
            self.drain_pipe();
        }
    }

    fn drain_pipe(&self) {
        let mut space = [0; PIPE_READ_BYTES];
        loop {
            match self.pipe.try_read(&mut space) {
                Ok(bytes) if bytes > 0 => {}
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                _ => return,
            }
        }
    }
}
