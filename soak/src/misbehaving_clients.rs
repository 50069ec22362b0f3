//! Clients that misbehave. Each is owed an error or a close within 3 s of connecting.

use crate::http::Connection;
use crate::judge::Rule;
use crate::world::World;
use rand::Rng;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

const PAUSE_MS: std::ops::Range<u64> = 100..1500;
/// What such a client is owed comes within this time of connecting.
const PATIENCE: Duration = Duration::from_secs(3);

/// What such a client sends, and then nothing more.
const TEXTS: [&str; 7] = [
    "",
    "GET /look",
    "rubbish\r\n\r\n",
    "GET /look HTTP/1.1\r\nHost: x\r\nContent-Length: -7\r\n\r\n",
    "POST /once?account=0000000000000007 HTTP/1.1\r\nHost: x\r\nX-Txn: 00000000000000ff\r\nX-Lane: once\r\n\
     X-Plan: plus\r\nX-Remaining-Ms: 1500\r\nX-Quota: units=1,spread=1,first=0\r\nContent-Length: 90\r\n\r\nhalf",
    "GET /look?account=0000000000000007 HTTP/1.1\r\nHost: x\r\nX-Lane: look\r\nX-Plan: plus\r\n\r\n",
    "POST /once HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
];

/// Misbehaves until the load ends.
pub async fn run(world: Rc<World>, number: u64) {
    let mut rng = crate::stream(world.seed, "misbehaving client", number);
    while !world.has_ended() {
        sleep(Duration::from_millis(rng.random_range(PAUSE_MS))).await;
        let gateway = rng.random_range(0..world.gateways.borrow().len());
        let delay = Duration::from_millis(if rng.random() {
            0
        } else {
            rng.random_range(0..2200)
        });
        let text = TEXTS[rng.random_range(0..TEXTS.len())];
        let (address, generation) = {
            let gateways = world.gateways.borrow();
            if !gateways[gateway].is_admitted {
                continue;
            }
            (gateways[gateway].address, gateways[gateway].generation)
        };
        let Ok(stream) = TcpStream::connect(address).await else {
            continue;
        };
        let connected_at = Instant::now();
        let mut connection = Connection::new(stream);
        sleep(delay).await;
        let _ = connection.send(text.as_bytes()).await;
        let is_over = timeout(PATIENCE + Duration::from_secs(2), connection.receive())
            .await
            .is_ok();
        let took = connected_at.elapsed();
        let allowed = PATIENCE + world.lag.allowance();
        let state_changed = world.gateways.borrow()[gateway].generation != generation;
        world.judge.borrow_mut().count("misbehaving clients");
        if (!is_over || took > allowed) && !state_changed {
            let detail = format!("gateway {gateway}: {took:?} for {text:?}, sent after {delay:?}");
            world
                .judge
                .borrow_mut()
                .report(Rule::MisbehavingClient, detail);
        }
    }
}
