//! Case: long answers that never end, while as many requests are open as the pages allow.

use crate::client::{body_class, safe_class, MAX_BODY_BYTES};
use crate::http::{ok, MessageReader};
use crate::platform::{serve, spawn, Entry, Gateway, MachineLimits};
use crate::record::Record;
use crate::site::{Site, SUR_PAGOS};
use crate::{Outcome, Run};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::Duration;

const SITE: &Site = &SUR_PAGOS;
const SERVERS: usize = 12;
/// Time that a quote server works on a request; the site has 90 to 260 ms.
const WORK: Duration = Duration::from_millis(150);
/// Of eight answers, this many never end.
const NEVER_ENDING_OF_EIGHT: u64 = 7;
/// Requests of a hundred that carry a body, those of the class `pago`; the site has 40 to 50.
const BODY_PERCENT: u64 = 50;
/// The limits of the gateway's machine: the lowest memory and the most descriptors of the pages.
const LIMITS: MachineLimits = MachineLimits {
    memory_mb: 32,
    sockets: 1024,
};
/// Clients with requests: a third of the descriptors.
const CLIENTS: u64 = 1024 / 3;
/// Times that all clients send a request.
const BURSTS: u64 = 2;

fn serve_requests(
    stream: &TcpStream,
    number: usize,
    trouble: bool,
    answers: &AtomicU64,
    record: &Record,
) -> io::Result<()> {
    let mut writer = stream;
    let mut requests = MessageReader::new(stream);
    let body = vec![b'a'; MAX_BODY_BYTES];
    while let Some(request) = requests.next()? {
        let id = request.header("x-txn").unwrap_or("").to_owned();
        record.add(format!("run {id} at server {number}"));
        thread::sleep(WORK);
        let answer = ok("X-Units-Charged: 1\r\n", &body);
        if trouble && answers.fetch_add(1, Ordering::Relaxed) % 8 < NEVER_ENDING_OF_EIGHT {
            // The connection stays open and is of no further use.
            writer.write_all(&answer[..answer.len() - 1])?;
            record.add(format!("the answer to {id} never ends"));
            while requests.next()?.is_some() {}
            return Ok(());
        }
        writer.write_all(&answer)?;
    }
    Ok(())
}

fn use_gateway(
    gateway: SocketAddr,
    client: u64,
    together: &Barrier,
    record: &Record,
) -> io::Result<()> {
    for burst in 0..BURSTS {
        let id = client * 10 + burst;
        let request = if client * 37 % 100 < BODY_PERCENT {
            body_class(SITE, id, client, MAX_BODY_BYTES)
        } else {
            safe_class(SITE, id, client)
        };
        let stream = TcpStream::connect(gateway)?;
        stream.set_read_timeout(Some(Duration::from_millis(SITE.longest_give_up_ms + 1000)))?;
        together.wait();
        record.add(format!("sent {id:016x}"));
        let answer = (&stream)
            .write_all(&request)
            .and_then(|()| MessageReader::new(&stream).next());
        match answer {
            Ok(Some(answer)) => record.add(format!("answered {id:016x} {}", answer.status())),
            Ok(None) => record.add(format!("no answer to {id:016x}: closed")),
            Err(error) => record.add(format!("no answer to {id:016x}: {error}")),
        }
        together.wait();
    }
    Ok(())
}

pub fn run(run: &Run, record: &Arc<Record>) -> io::Result<Outcome> {
    let answers = Arc::new(AtomicU64::new(0));
    let mut entries = Vec::new();
    for number in 0..SERVERS {
        let (answers, record) = (answers.clone(), record.clone());
        let trouble = run.trouble;
        let addr = serve(move |stream| {
            let _ = serve_requests(&stream, number, trouble, &answers, &record);
        })?;
        let zone = SITE.zones[number % SITE.zones.len()];
        entries.push(Entry { addr, zone });
    }
    let mut gateway = Gateway::start(&run.folder, SITE, &entries, LIMITS)?;
    let (addr, together) = (gateway.addr, Arc::new(Barrier::new(CLIENTS as usize)));
    let clients: Vec<_> = (1..=CLIENTS)
        .map(|client| {
            let (together, record) = (together.clone(), record.clone());
            spawn(move || use_gateway(addr, client, &together, &record))
        })
        .collect();
    let done = Arc::new(AtomicBool::new(false));
    let all_done = done.clone();
    let waiter = spawn(move || {
        let failed = clients
            .into_iter()
            .filter_map(|client| client.join().ok()?.err())
            .count();
        all_done.store(true, Ordering::Relaxed);
        failed
    });
    let limit_kib = u64::from(LIMITS.memory_mb) * 1024;
    let mut most = 0;
    while !done.load(Ordering::Relaxed) && gateway.is_running() {
        // The memory of the process alone: the pages of the program file are left out.
        let now = gateway.memory_kib("RssAnon").unwrap_or(0);
        if now > most + 1024 {
            record.add(format!("the gateway has {now} KiB of memory"));
        }
        most = most.max(now);
        thread::sleep(Duration::from_millis(2));
    }
    if !gateway.is_running() {
        record.say("the gateway has ended by itself".to_owned());
        return Ok(Outcome::Broken);
    }
    let failed = waiter.join().unwrap_or(usize::MAX);
    let with_file = gateway.memory_kib("VmHWM").unwrap_or(0);
    record.say(format!(
        "largest memory of the gateway {most} KiB, {with_file} KiB with the program file; its limit is {limit_kib} KiB"
    ));
    if failed > 0 {
        return Err(io::Error::other(format!(
            "{failed} clients could not connect"
        )));
    }
    Ok(if most > limit_kib {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}
