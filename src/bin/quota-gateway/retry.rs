//! What the system can't do for a moment is tried again for a while: opening sockets and files, at the start and at a
//! reload.

use crate::transient_errors::may_pass;
use std::future::Future;
use std::io;
use std::thread;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Pause between two tries.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// How long the parts of the runtime are tried for.
const RUNTIME_PATIENCE: Duration = Duration::from_secs(5);
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
