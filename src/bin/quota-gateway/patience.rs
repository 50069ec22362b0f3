//! What the system can't do for a moment is tried again for a while: opening sockets and files, at the start and at a
//! reload.

use nix::libc;
use std::future::Future;
use std::io::{self, ErrorKind};
use std::thread;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Pause between two tries.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// How long the parts of the runtime are tried for.
const RUNTIME_PATIENCE: Duration = Duration::from_secs(5);
/// Errors that lie on this machine and may pass.
const PASSING_ERRORS: [i32; 8] = [
    libc::EADDRNOTAVAIL,
    libc::EAGAIN,
    libc::EINTR,
    libc::EIO,
    libc::EMFILE,
    libc::ENFILE,
    libc::ENOBUFS,
    libc::ENOMEM,
];

/// Whether an error of opening something lies on this machine and may pass.
pub fn may_pass(error: &io::Error) -> bool {
    error.raw_os_error().is_some_and(|code| PASSING_ERRORS.contains(&code))
}

/// Whether an error of taking an address may pass: the former process may not have ended.
pub fn may_pass_for_address(error: &io::Error) -> bool {
    error.kind() == ErrorKind::AddrInUse || may_pass(error)
}

/// Tries until it works, fails for a reason that does not pass, or the time is over.
///
/// # Errors
///
/// The last failure.
pub async fn retry<T, E, F>(
    patience: Duration,
    may_pass: impl Fn(&E) -> bool,
    open: impl Fn() -> F,
) -> Result<T, E>
where
    F: Future<Output = Result<T, E>>,
{
    let deadline = Instant::now() + patience;
    loop {
        match open().await {
            Err(error) if may_pass(&error) && Instant::now() < deadline => {}
            result => return result,
        }
        sleep(RETRY_PAUSE).await;
    }
}

/// The same for what comes before the runtime; it blocks.
///
/// # Errors
///
/// The last failure.
pub fn retry_blocking<T>(open: impl Fn() -> io::Result<T>) -> io::Result<T> {
    let deadline = std::time::Instant::now() + RUNTIME_PATIENCE;
    loop {
        match open() {
            Err(error) if may_pass(&error) && std::time::Instant::now() < deadline => {}
            result => return result,
        }
        thread::sleep(RETRY_PAUSE);
    }
}
