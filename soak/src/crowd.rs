//! Idle clients that fill the descriptors of a gateway: each connects, sends nothing, and connects again once it has
//! been closed.

use crate::world::World;
use rand::Rng;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Pause before a client connects again.
const PAUSE_MS: std::ops::Range<u64> = 50..300;
/// Room for whatever the gateway says.
const READ_BYTES: usize = 512;

/// One idle client of a gateway, until the load ends.
pub async fn run(world: Rc<World>, gateway: usize, number: u64) {
    let mut rng = crate::stream(world.seed, "crowd", number);
    while !world.has_ended() {
        sleep(Duration::from_millis(rng.random_range(PAUSE_MS))).await;
        let (is_admitted, address) = {
            let gateways = world.gateways.borrow();
            (gateways[gateway].is_admitted, gateways[gateway].address)
        };
        if !is_admitted {
            continue;
        }
        let Ok(mut stream) = TcpStream::connect(address).await else {
            continue;
        };
        let mut answer = [0; READ_BYTES];
        // Ends with the connection.
        while stream.read(&mut answer).await.is_ok_and(|bytes| bytes > 0) {}
    }
}
