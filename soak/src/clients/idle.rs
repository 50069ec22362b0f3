//! Idle clients that fill the descriptors of a gateway: each connects, sends nothing, and connects again once it has
//! been closed.

use super::context::ClientContext;
use rand::Rng;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Pause before a client connects again.
const PAUSE_MS: std::ops::Range<u64> = 50..300;
/// Bytes that are read at a time of whatever the gateway sends.
const READ_BYTES: usize = 512;
/// Name of these clients' random streams. Another name would draw other times from a seed.
const STREAM: &str = "crowd";

/// One idle client of a gateway, until the load ends.
pub async fn run(context: ClientContext, gateway: usize, number: u64) {
    let mut rng = crate::seeded_rng(context.settings.seed, STREAM, number);
    while !context.settings.has_load_ended() {
        sleep(Duration::from_millis(rng.random_range(PAUSE_MS))).await;
        let state = context.directory.state(gateway);
        if !state.is_admitted {
            continue;
        }
        let Ok(mut stream) = TcpStream::connect(state.address).await else {
            continue;
        };
        let mut answer = [0; READ_BYTES];
        // Ends with the connection.
        while stream.read(&mut answer).await.is_ok_and(|bytes| bytes > 0) {}
    }
}
