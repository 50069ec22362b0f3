//! Case: hundreds of clients stop in the middle of a request and stay, beside ordinary traffic.

use crate::client::{body_class, safe_class, MAX_BODY_BYTES};
use crate::http::{ok, MessageReader};
use crate::platform::{serve, spawn, Entry, Gateway, MachineLimits};
use crate::record::Record;
use crate::site::{Site, CENTRALA_KALISZ};
use crate::{Outcome, Run};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const SITE: &Site = &CENTRALA_KALISZ;
const SERVERS: usize = 9;
/// Time that a quote server works on a request; the site has 44 to 130 ms.
const WORK: Duration = Duration::from_millis(60);
/// The limits of the gateway's machine: the lowest memory and the most descriptors of the pages.
const LIMITS: MachineLimits = MachineLimits {
    memory_mb: 32,
    sockets: 1024,
};
/// Clients with ordinary traffic, and the time from an answer to the next request.
const CLIENTS: u64 = 20;
const PAUSE: Duration = Duration::from_millis(80);
/// Clients that stop in the middle of a request, and the time until each comes back after its error or close.
const STOPPED_CLIENTS: u64 = 500;
const COME_BACK: Duration = Duration::from_millis(500);
/// A client that stops waits this long for its error or close, which it is owed within 3 s.
const OWED_WITHIN: Duration = Duration::from_secs(4);
const LENGTH: Duration = Duration::from_secs(20);

fn serve_requests(stream: &TcpStream, number: usize, record: &Record) -> io::Result<()> {
    let mut writer = stream;
    let mut requests = MessageReader::new(stream);
    while let Some(request) = requests.next()? {
        let id = request.header("x-txn").unwrap_or("").to_owned();
        record.add(format!("run {id} at server {number}"));
        thread::sleep(WORK);
        let body = format!("quote for {id}");
        writer.write_all(&ok("X-Units-Charged: 1\r\n", body.as_bytes()))?;
    }
    Ok(())
}

/// Sends ordinary requests until the end; returns how many were sent and how many served.
fn use_gateway(
    gateway: SocketAddr,
    account: u64,
    end: Instant,
    ids: &AtomicU64,
    record: &Record,
) -> (u64, u64) {
    let (mut sent, mut served) = (0, 0);
    while Instant::now() < end {
        let id = ids.fetch_add(1, Ordering::Relaxed);
        let request = if id % 100 < 31 {
            body_class(SITE, id, account, 200)
        } else {
            safe_class(SITE, id, account)
        };
        sent += 1;
        record.add(format!("sent {id:016x}"));
        let answer = TcpStream::connect(gateway).and_then(|stream| {
            stream.set_read_timeout(Some(Duration::from_millis(SITE.longest_give_up_ms + 500)))?;
            (&stream).write_all(&request)?;
            MessageReader::new(&stream).next()
        });
        match answer {
            Ok(Some(answer)) => {
                served += u64::from(answer.status() == 200);
                record.add(format!("answered {id:016x} {}", answer.status()));
            }
            Ok(None) => record.add(format!("no answer to {id:016x}: closed")),
            Err(error) => record.add(format!("no answer to {id:016x}: {error}")),
        }
        thread::sleep(PAUSE);
    }
    (sent, served)
}

/// Sends a request up to some point of its body, stops and stays until the gateway has closed the connection.
fn stop_in_request(gateway: SocketAddr, account: u64, id: u64, record: &Record) -> io::Result<()> {
    let request = body_class(SITE, id, account, MAX_BODY_BYTES);
    let head_bytes = request.len() - MAX_BODY_BYTES;
    // Spread over the body: a multiplicative hash of the id.
    let share = (id.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 40) as usize;
    let body_bytes = 1 + share % (MAX_BODY_BYTES - 1);
    let mut stream = TcpStream::connect(gateway)?;
    stream.set_read_timeout(Some(OWED_WITHIN))?;
    let started_at = Instant::now();
    stream.write_all(&request[..head_bytes + body_bytes])?;
    record.add(format!(
        "stopped {id:016x} after {body_bytes} bytes of its body"
    ));
    let mut answer = [0; 512];
    while stream.read(&mut answer)? > 0 {}
    let seconds = started_at.elapsed().as_secs_f64();
    record.add(format!("closed {id:016x} after {seconds:.2} s"));
    Ok(())
}

pub fn run(run: &Run, record: &Arc<Record>) -> io::Result<Outcome> {
    let mut entries = Vec::new();
    for number in 0..SERVERS {
        let record = record.clone();
        let addr = serve(move |stream| {
            let _ = serve_requests(&stream, number, &record);
        })?;
        let zone = SITE.zones[number % SITE.zones.len()];
        entries.push(Entry { addr, zone });
    }
    let mut gateway = Gateway::start(&run.folder, SITE, &entries, LIMITS)?;
    let addr = gateway.addr;
    let end = Instant::now() + LENGTH;
    let ids = Arc::new(AtomicU64::new(1));
    let clients: Vec<_> = (1..=CLIENTS)
        .map(|account| {
            let (ids, record) = (ids.clone(), record.clone());
            spawn(move || use_gateway(addr, account, end, &ids, &record))
        })
        .collect();
    let stopped_clients = if run.trouble { STOPPED_CLIENTS } else { 0 };
    for client in 0..stopped_clients {
        let (ids, record) = (ids.clone(), record.clone());
        spawn(move || {
            while Instant::now() < end {
                let id = ids.fetch_add(1, Ordering::Relaxed);
                if let Err(error) = stop_in_request(addr, 1000 + client, id, &record) {
                    record.add(format!("ended {id:016x}: {error}"));
                }
                thread::sleep(COME_BACK);
            }
        });
    }
    let limit_kib = u64::from(LIMITS.memory_mb) * 1024;
    let mut most = 0;
    let mut shown = 0;
    while Instant::now() < end && gateway.is_running() {
        // The memory of the process alone: the pages of the program file are left out.
        most = most.max(gateway.memory_kib("RssAnon").unwrap_or(0));
        if most > shown + 1024 {
            shown = most;
            record.add(format!("the gateway has {most} KiB of memory"));
        }
        thread::sleep(Duration::from_millis(5));
    }
    if !gateway.is_running() {
        record.say("the gateway has ended by itself".to_owned());
        return Ok(Outcome::Broken);
    }
    let with_file = gateway.memory_kib("VmHWM").unwrap_or(0);
    let (mut sent, mut served) = (0, 0);
    for client in clients {
        let one = client
            .join()
            .map_err(|_| io::Error::other("a client failed"))?;
        sent += one.0;
        served += one.1;
    }
    record.say(format!(
        "largest memory of the gateway {most} KiB, {with_file} KiB with the program file; its limit is {limit_kib} KiB; \
         ordinary requests {sent}, served {served}"
    ));
    if served == 0 {
        return Ok(Outcome::NotRun);
    }
    Ok(if most > limit_kib {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}
