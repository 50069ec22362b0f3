//! Idle clients that use up the file descriptors of a gateway. Each client connects, sends nothing, and connects again
//! after the gateway has closed its connection.

use super::context::ClientContext;
use rand::Rng;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Pause before a client connects again.
const PAUSE_MS: std::ops::Range<u64> = 50..300;
/// Buffer size for what the gateway sends.
const READ_BYTES: usize = 512;
/// Name of the random streams of idle clients. Another name would draw other times from a seed.
const STREAM: &str = "crowd";

/// Runs one idle client of a gateway until the load ends.
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
        let mut response = [0; READ_BYTES];
        // The loop ends when the connection ends.
        while stream
            .read(&mut response)
            .await
            .is_ok_and(|bytes| bytes > 0)
        {}
    }
}
