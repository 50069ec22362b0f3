//! Clients that never send a valid request. The gateway has to send an error or close the connection within 3 s after
//! the client has connected.

use super::context::ClientContext;
use crate::rules::Rule;
use rand::Rng;
use stand_ins::connection::Connection;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

/// Pause before a client connects again.
const PAUSE_MS: std::ops::Range<u64> = 100..1500;
/// The gateway responds or closes the connection within this time after the client has connected.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// A client waits this much longer than `RESPONSE_TIMEOUT`, so that the report shows how late the gateway responded.
const EXTRA_WAIT: Duration = Duration::from_secs(2);
/// Pause between connecting and sending, for clients that pause.
const SEND_DELAY_MS: std::ops::Range<u64> = 0..2200;

/// Data that a misbehaving client sends before it stops sending.
const PAYLOADS: [&str; 7] = [
    "",
    "GET /look",
    "rubbish\r\n\r\n",
    "GET /look HTTP/1.1\r\nHost: x\r\nContent-Length: -7\r\n\r\n",
    "POST /once?account=0000000000000007 HTTP/1.1\r\nHost: x\r\nX-Txn: 00000000000000ff\r\nX-Lane: once\r\n\
     X-Plan: plus\r\nX-Remaining-Ms: 1500\r\nX-Quota: units=1,spread=1,first=0\r\nContent-Length: 90\r\n\r\nhalf",
    "GET /look?account=0000000000000007 HTTP/1.1\r\nHost: x\r\nX-Lane: look\r\nX-Plan: plus\r\n\r\n",
    "POST /once HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
];

/// Runs one misbehaving client until the load ends.
pub async fn run(context: ClientContext, number: u64) {
    let mut rng = crate::seeded_rng(context.settings.seed, "misbehaving client", number);
    while !context.settings.has_load_ended() {
        sleep(Duration::from_millis(rng.random_range(PAUSE_MS))).await;
        let gateway = rng.random_range(0..context.directory.count());
        let delay = Duration::from_millis(if rng.random() {
            0
        } else {
            rng.random_range(SEND_DELAY_MS)
        });
        let payload = PAYLOADS[rng.random_range(0..PAYLOADS.len())];
        let state = context.directory.state(gateway);
        if !state.is_admitted {
            continue;
        }
        let Ok(stream) = TcpStream::connect(state.address).await else {
            continue;
        };
        let connected_at = Instant::now();
        let mut connection = Connection::new(stream);
        sleep(delay).await;
        let _ = connection.send(payload.as_bytes()).await;
        let got_response_or_close = timeout(RESPONSE_TIMEOUT + EXTRA_WAIT, connection.receive())
            .await
            .is_ok();
        let elapsed = connected_at.elapsed();
        let allowed = RESPONSE_TIMEOUT + context.delay.allowance();
        let was_restarted = context.directory.state(gateway).generation != state.generation;
        context.observations.increment("misbehaving clients");
        if (!got_response_or_close || elapsed > allowed) && !was_restarted {
            let detail = format!(
                "gateway {gateway}: no response or close in time for {payload:?}, sent {delay:?} after connecting; \
                 waited {elapsed:?}"
            );
            context.observations.report(Rule::MisbehavingClient, detail);
        }
    }
}
