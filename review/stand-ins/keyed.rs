//! Case: a request with an idempotency key is sent outside the group that knows its key.

#[path = "common.rs"]
mod common;

use common::*;
use std::io::{BufReader, Write};
use std::sync::{mpsc, Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The deployment's `quote-issue` with a key that the quote servers of one room know.
const KEYED_ISSUE: &str = r#"{"name":"quote-issue","aim-ms":1000.0,"give-up-ms":2500.0,"value":2.0,"late-worth":0.2,"effect":"idempotency_key","group":"zone","window-ms":5000.0,"stream":false}"#;
const WINDOW: Duration = Duration::from_millis(5000);
/// Quiet time before the request.
const QUIET: Duration = Duration::from_secs(62);
/// Time of the work on one request.
const WORK: Duration = Duration::from_millis(100);
/// Time after which the first quote server crashes under the request, less than its work takes.
const FIRST_CRASH: Duration = Duration::from_millis(80);
/// Time from the crash until the list tells it. The site file's range is 0.97 to 4.9 s.
const NOTICE: Duration = Duration::from_millis(1000);
/// Time after which the second one, which hangs in the middle of its work, resets the connection.
const SECOND_RESET: Duration = Duration::from_millis(2080);
const ROOMS: [&str; 3] = ["room-a", "room-b", "room-c"];
const SERVERS: usize = 9;

/// An attempt that a quote server got whole.
struct Arrival {
    server: usize,
    at: std::time::Instant,
}

fn main() {
    let record = Record::new();
    let trouble = with_trouble();
    record.line(format!("trouble: {trouble}"));
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    let (events, received) = mpsc::channel();
    let servers: Vec<Server> = (0..SERVERS)
        .map(|number| {
            let arrivals = arrivals.clone();
            let record = record.clone();
            let events = events.clone();
            Server::start(move |message| {
                let attempt = {
                    let mut arrivals = arrivals.lock().unwrap();
                    arrivals.push(Arrival {
                        server: number,
                        at: std::time::Instant::now(),
                    });
                    arrivals.len()
                };
                record.line(format!(
                    "quote server {number} in {} got attempt {attempt}, whole: {} X-Txn {} key {} remaining {} ms",
                    ROOMS[number % 3],
                    message.first_line,
                    message.header("X-Txn").unwrap_or("-"),
                    message.header("Idempotency-Key").unwrap_or("-"),
                    message.header("X-Remaining-Ms").unwrap_or("-"),
                ));
                if trouble && attempt <= 2 {
                    let _ = events.send((attempt, number));
                    return Reply::Hold;
                }
                thread::sleep(WORK);
                record.line(format!("quote server {number} has run it and answers 200"));
                Reply::Send(response(200, "X-Units-Charged: 1\r\n", "quote 1"))
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
            settings: settings(KEYED_ISSUE),
            memory_mb: 192,
            sockets: 1024,
        },
    );
    record.line(format!("quiet for {QUIET:?}"));
    thread::sleep(QUIET);

    // The disruption: the first quote server that gets the request crashes, the second one hangs and resets.
    let disrupting = record.clone();
    thread::spawn(move || {
        for (attempt, number) in received {
            if attempt == 1 {
                thread::sleep(FIRST_CRASH);
                disrupting.line(format!("quote server {number} crashes"));
                servers[number].die();
                let discovery = discovery.clone();
                let record = disrupting.clone();
                let gone = Entry {
                    state: "Gone",
                    ..entries[number].clone()
                };
                thread::spawn(move || {
                    thread::sleep(NOTICE);
                    record.line(format!("discovery tells: quote server {number} is gone"));
                    discovery.tell(&[gone]);
                });
            } else {
                thread::sleep(SECOND_RESET);
                disrupting.line(format!("quote server {number} resets the connection"));
                servers[number].reset_connections();
            }
        }
    });

    let mut connection = gateway.connect();
    let _ = connection.set_read_timeout(Some(Duration::from_secs(4)));
    let (id, message) = Request {
        class: "quote-issue",
        method: "POST",
        customer: 7,
        remaining_ms: 2500,
        headers: "Idempotency-Key: 5c0f6e1a2b3d4c59a8b7c6d5e4f30211\r\n",
        body: b"lease 36 months",
    }
    .encode();
    record.line(format!("client sends POST /quote-issue, X-Txn {id}"));
    connection
        .write_all(&message)
        .expect("the request can be written");
    match read_message(&mut BufReader::new(connection)) {
        Some(answer) => record.line(format!("client got {}", answer.first_line)),
        None => record.line("client got no answer"),
    }
    if let Some(status) = gateway.ended() {
        record.say(format!("BROKEN: the gateway has ended: {status}"));
        drop(gateway);
        std::process::exit(1);
    }
    drop(gateway);

    // The check: once an attempt may have run, further attempts go to the same room, within the window.
    let arrivals = arrivals.lock().unwrap();
    let Some(first) = arrivals.first() else {
        cannot_run(&record, "no quote server got the request");
    };
    let mut broken = false;
    for later in &arrivals[1..] {
        let outside = later.server % 3 != first.server % 3;
        let late = later.at - first.at > WINDOW;
        if outside || late {
            record.say(format!(
                "BROKEN: quote server {} in {} got a request that quote server {} in {} may have run; its key is known in {} only",
                later.server, ROOMS[later.server % 3], first.server, ROOMS[first.server % 3], ROOMS[first.server % 3],
            ));
            broken = true;
        }
    }
    if !broken {
        record.say(format!(
            "HELD: {} attempts, all in {}",
            arrivals.len(),
            ROOMS[first.server % 3]
        ));
    }
    std::process::exit(i32::from(broken));
}
