//! Retries opening sockets and files at startup and at a reload.
//!
//! Guards against transient failures of the system: a temporary lack of descriptors or memory, an interrupted system
//! call, or an address that the previous process still uses. Without a retry, the process would exit at startup, or
//! keep addresses that are no longer served.

use crate::transient_errors::is_transient_open_error;
use std::future::Future;
use std::io;
use std::thread;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Maximum time for which setting up signal handlers and the runtime is retried.
const RUNTIME_TIMEOUT: Duration = Duration::from_secs(5);

/// Calls `open` until it succeeds, fails with an error that is not transient, or has been retried for `max_duration`.
///
/// # Errors
///
/// Returns the error of the last attempt.
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

/// Like [`retry`], for use before the runtime is started. Blocks the thread, and retries for at most `RUNTIME_TIMEOUT`.
///
/// # Errors
///
/// Returns the error of the last attempt.
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
