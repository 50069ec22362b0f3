//! Retries opening sockets and files, at the start and at a reload.
//!
//! Guards against failures of the system that pass by themselves: descriptors or memory are short for a moment, a call is
//! interrupted, the former process still has the address. Without a retry the process would end at its start, or keep
//! addresses that are no longer served.

use crate::transient_errors::is_transient_open_error;
use std::future::Future;
use std::io;
use std::thread;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Delay between two tries.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Longest time for which signal handlers and the runtime are retried.
const RUNTIME_TIMEOUT: Duration = Duration::from_secs(5);

/// Tries until `open` succeeds, fails for a reason that does not pass, or has been tried for `max_duration`.
///
/// # Errors
///
/// The last failure.
pub async fn retry<T, E, F>(
    max_duration: Duration,
    is_transient: impl Fn(&E) -> bool,
    open: impl Fn() -> F,
) -> Result<T, E>
where
    F: Future<Output = Result<T, E>>,
{
    let deadline = Instant::now() + max_duration;
    loop {
        match open().await {
            Err(error) if is_transient(&error) && Instant::now() < deadline => {}
            result => return result,
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Like `retry`, before the runtime is there: it blocks the thread, for `RUNTIME_TIMEOUT` at most.
///
/// # Errors
///
/// The last failure.
pub fn retry_blocking<T>(open: impl Fn() -> io::Result<T>) -> io::Result<T> {
    let deadline = std::time::Instant::now() + RUNTIME_TIMEOUT;
    loop {
        match open() {
            Err(error)
                if is_transient_open_error(&error) && std::time::Instant::now() < deadline => {}
            result => return result,
        }
        thread::sleep(RETRY_DELAY);
    }
}
