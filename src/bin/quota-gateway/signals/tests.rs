//! Tests a signal whose wake-up is lost, on the paused clock.

use super::SignalStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UnixStream;
use tokio::time::{sleep, Instant};

/// Longest time by which SIGTERM may be noticed late.
const MAX_DELAY: Duration = Duration::from_millis(100);

/// The byte that wakes the task is lost, as a write to the pipe may fail. If the signal were not noticed, the process
/// would run until SIGKILL, which follows 0.7 s plus the longest request deadline after SIGTERM. The signal must still
/// be noticed, with time left for the shutdown.
#[tokio::test(start_paused = true)]
async fn a_signal_whose_byte_was_lost_is_noticed_in_time() {
    for set_after in [0, 3, 60, 130, 470] {
        let received = Arc::new(AtomicBool::new(false));
        let (pipe, _handler_end) = UnixStream::pair().unwrap();
        let mut signal = SignalStream {
            received: received.clone(),
            pipe,
        };
        let started_at = Instant::now();
        let set_after = Duration::from_millis(set_after);
        let handler = async {
            sleep(set_after).await;
            received.store(true, Ordering::SeqCst);
        };
        tokio::join!(signal.recv(), handler);
        let delay = started_at.elapsed().saturating_sub(set_after);
        assert!(
            delay <= MAX_DELAY,
            "set after {set_after:?}, noticed {delay:?} later"
        );
    }
}
