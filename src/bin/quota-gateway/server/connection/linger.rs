//! The lingering close of a connection after its last response, as described in RFC 9112, section 9.6.
//!
//! Guards against losing the response when a connection is closed while its client is still sending, for instance a
//! body that is too long. The system responds to bytes that arrive after the close with a reset, and the reset discards
//! a response that the client has not read yet: the client observes a broken connection instead of a 413. The gateway
//! therefore closes only its sending side, and reads and discards all bytes until the client has closed its side.

use crate::socket::Socket;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWriteExt, ReadBuf};
use tokio::time::{timeout_at, Instant};

/// Maximum number of discarded bytes.
const MAX_BYTES: u64 = 64 << 20;
/// Maximum time from the last response to the close.
const TIMEOUT: Duration = Duration::from_millis(2500);
/// Size of one read.
const BUFFER_BYTES: usize = 16 * 1024;

/// Closes the sending side, and waits until the client has closed its side or a limit is reached.
pub async fn linger(socket: Socket) {
    // An error means that the client has reset the connection, so that there is nothing left to wait for.
    let _ = timeout_at(Instant::now() + TIMEOUT, discard_until_closed(socket)).await;
}

async fn discard_until_closed(mut socket: Socket) -> io::Result<()> {
    socket.shutdown().await?;
    let mut remaining = MAX_BYTES;
    while remaining > 0 {
        let read = poll_fn(|cx| poll_discard(&mut socket, cx)).await?;
        if read == 0 {
            break;
        }
        remaining = remaining.saturating_sub(read as u64);
    }
    Ok(())
}

/// Reads and discards the bytes that have arrived, up to `BUFFER_BYTES`. Returns their number. The buffer is on the
/// stack: hundreds of clients may be lingering at once, and each waits most of the time.
fn poll_discard(socket: &mut Socket, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
    let mut storage = [0; BUFFER_BYTES];
    let mut buffer = ReadBuf::new(&mut storage);
    ready!(Pin::new(socket).poll_read(cx, &mut buffer))?;
    Poll::Ready(Ok(buffer.filled().len()))
}
