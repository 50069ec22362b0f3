//! The lingering close behind a last response.
//!
//! Failure: a connection is closed while its client is still sending, for instance a body that was too long. The system
//! answers the bytes that arrive afterwards with a reset, which discards the response that the client has not read yet:
//! it sees a broken connection in place of its 413. So the gateway closes its sending side only, and reads and discards
//! what comes until the client has closed, too.

use crate::socket::Socket;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{timeout_at, Instant};

/// Most bytes that are discarded for one client.
const MAX_BYTES: u64 = 64 << 20;
/// Longest time from the last response to the close.
const TIMEOUT: Duration = Duration::from_millis(2500);
/// Size of one read.
const BUFFER_BYTES: usize = 64 * 1024;

/// Closes the sending side, and waits until the client has closed its side or a bound is reached.
pub async fn linger(socket: Socket) {
    // The client may reset the connection meanwhile.
    let _ = timeout_at(Instant::now() + TIMEOUT, discard_until_closed(socket)).await;
}

async fn discard_until_closed(mut socket: Socket) -> io::Result<()> {
    socket.shutdown().await?;
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut left = MAX_BYTES;
    while left > 0 {
        let read = socket.read(&mut buffer).await?;
        if read == 0 {
            break;
        }
        left = left.saturating_sub(read as u64);
    }
    Ok(())
}
