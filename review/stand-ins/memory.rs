//! Case: clients that write long requests slowly, in pieces, take the gateway over its memory limit.

#[path = "common.rs"]
mod common;

use common::*;
use std::io::{BufReader, Write};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The limits that the configuration states: the largest that a scored day has.
const MEMORY_MB: u32 = 192;
const SOCKETS: u32 = 1024;
/// Clients with a long request each. With the disruption they write it slowly.
const CLIENTS: usize = 60;
/// Clients that send short requests all the while, each one after the answer to the one before and a pause.
const STEADY_CLIENTS: usize = 4;
const STEADY_PAUSE: Duration = Duration::from_millis(20);
/// Length of a body. A body may hold 64 KiB.
const BODY_BYTES: usize = 64 * 1024;
/// With the disruption, a body is written in pieces of this length, with this time between two of them.
const PIECE_BYTES: usize = 64;
const PIECE_INTERVAL: Duration = Duration::from_micros(1900);
/// Time from one client's start to the next one's.
const STAGGER: Duration = Duration::from_millis(1);
/// The same without the disruption, where requests are short.
const STAGGER_WITHOUT: Duration = Duration::from_millis(33);
/// Time of the work on one request.
const WORK: Duration = Duration::from_millis(70);
const ROOMS: [&str; 3] = ["room-a", "room-b", "room-c"];
const SERVERS: usize = 9;

fn main() {
    let record = Record::new();
    let trouble = with_trouble();
    record.line(format!("trouble: {trouble}"));
    let servers: Vec<Server> = (0..SERVERS)
        .map(|_| {
            Server::start(move |_| {
                thread::sleep(WORK);
                Reply::Send(response(200, "X-Units-Charged: 1\r\n", "quote"))
            })
        })
        .collect();
    let entries: Vec<Entry> = servers
        .iter()
        .enumerate()
        .map(|(number, server)| Entry {
            id: format!("s-{number:08x}"),
            addr: server.addr,
            zone: ROOMS[number % 3].to_owned(),
            cell: number % 3,
            state: "Ready",
            started_ms: 0,
        })
        .collect();
    let discovery = Discovery::start(entries.clone());
    let counter = start_counter();
    let mut gateway = Gateway::start(
        &record,
        &Deployment {
            discovery: discovery.addr,
            counter: counter.addr,
            known: &entries,
            settings: settings(QUOTE_ISSUE),
            memory_mb: MEMORY_MB,
            sockets: SOCKETS,
        },
    );
    let limit = u64::from(MEMORY_MB) << 20;
    record.line(format!(
        "memory when ready: {} KiB of {} KiB",
        gateway.memory().unwrap_or(0) >> 10,
        limit >> 10
    ));

    let finished = Arc::new(AtomicUsize::new(0));
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let addr = gateway.addr;
            let (record, finished, stop) = (record.clone(), finished.clone(), stop.clone());
            thread::spawn(move || {
                let stagger = if trouble { STAGGER } else { STAGGER_WITHOUT };
                thread::sleep(stagger * number as u32);
                let outcome = send(&record, addr, number, trouble, &stop);
                finished.fetch_add(1, Ordering::SeqCst);
                outcome
            })
        })
        .collect();

    let steady: Vec<_> = (0..STEADY_CLIENTS)
        .map(|number| {
            let addr = gateway.addr;
            let (record, stop) = (record.clone(), stop.clone());
            thread::spawn(move || send_steadily(&record, addr, number, &stop))
        })
        .collect();

    // The platform watches the memory until the last client has its answer.
    let mut over = false;
    let mut peak = 0;
    let mut recorded_at = Instant::now();
    while finished.load(Ordering::SeqCst) < CLIENTS && gateway.ended().is_none() {
        let memory = gateway.memory().unwrap_or(0);
        peak = peak.max(memory);
        if recorded_at.elapsed() > Duration::from_millis(200) {
            recorded_at = Instant::now();
            record.line(format!("memory: {} KiB", memory >> 10));
        }
        if memory > limit {
            over = true;
            record.line(format!(
                "platform: {} KiB are over the limit, the gateway is killed",
                memory >> 10
            ));
            let _ = gateway.child.kill();
            let _ = gateway.child.wait();
            break;
        }
        thread::sleep(Duration::from_millis(5));
    }
    let ended = gateway.ended();
    stop.store(true, Ordering::SeqCst);
    let outcomes: Vec<String> = clients
        .into_iter()
        .map(|client| client.join().expect("clients do not panic"))
        .collect();
    let answered = outcomes
        .iter()
        .filter(|outcome| outcome.starts_with("HTTP"))
        .count();
    let mut short = (0, 0);
    for client in steady {
        let (sent, answered) = client.join().expect("clients do not panic");
        short = (short.0 + sent, short.1 + answered);
    }
    drop(gateway);
    record.say(format!(
        "{CLIENTS} long requests, {answered} answered; {} short ones, {} answered; peak memory {} KiB, limit {} KiB",
        short.0,
        short.1,
        peak >> 10,
        limit >> 10
    ));
    let broken = over || ended.is_some();
    record.say(match (over, &ended) {
        (true, _) => {
            "BROKEN: over its memory limit the gateway is killed: it has crashed".to_owned()
        }
        (false, Some(status)) => format!("BROKEN: the gateway has ended: {status}"),
        (false, None) => "HELD".to_owned(),
    });
    std::process::exit(i32::from(broken));
}

/// Sends a request and returns the first line of its answer.
fn send(
    record: &Record,
    addr: std::net::SocketAddr,
    number: usize,
    trouble: bool,
    stop: &AtomicBool,
) -> String {
    let (id, message) = Request {
        class: "quote-issue",
        method: "POST",
        customer: 1000 + number as u64,
        remaining_ms: 2500,
        headers: "",
        body: &vec![b'b'; BODY_BYTES],
    }
    .encode();
    let Ok(mut stream) = std::net::TcpStream::connect(addr) else {
        return "no connection".to_owned();
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(4)));
    let start = Instant::now();
    let (head, body) = message.split_at(message.len() - BODY_BYTES);
    let piece = if trouble { PIECE_BYTES } else { BODY_BYTES };
    let mut written = stream.write_all(head);
    for (index, piece) in body.chunks(piece).enumerate() {
        if written.is_err() || stop.load(Ordering::SeqCst) {
            break;
        }
        let due = PIECE_INTERVAL * index as u32;
        thread::sleep(due.saturating_sub(start.elapsed()));
        written = stream.write_all(piece);
    }
    let took = start.elapsed();
    let answer = match read_message(&mut BufReader::new(stream)) {
        Some(answer) => answer.first_line,
        None => "no answer".to_owned(),
    };
    record.line(format!(
        "client {number}, {id}: written in {took:.1?} ({written:?}), {answer}"
    ));
    answer
}

/// Sends short requests until told to stop or until one gets no answer. Returns the numbers of requests and answers.
fn send_steadily(
    record: &Record,
    addr: std::net::SocketAddr,
    number: usize,
    stop: &AtomicBool,
) -> (usize, usize) {
    let Ok(stream) = std::net::TcpStream::connect(addr) else {
        return (0, 0);
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(4)));
    let mut reader = BufReader::new(stream.try_clone().expect("the stream can be cloned"));
    let mut sent = 0;
    while !stop.load(Ordering::SeqCst) {
        let (id, message) = Request {
            class: "price-calc",
            method: "GET",
            customer: 5000 + (number * 1000 + sent) as u64,
            remaining_ms: 2500,
            headers: "",
            body: &[],
        }
        .encode();
        if (&stream).write_all(&message).is_err() {
            break;
        }
        sent += 1;
        if read_message(&mut reader).is_none() {
            record.line(format!("short request {id}: no answer"));
            return (sent, sent - 1);
        }
        thread::sleep(STEADY_PAUSE);
    }
    (sent, sent)
}
