//! Case: a request whose time has passed while it waited behind others on its connection takes the ones behind it along.

#[path = "common.rs"]
mod common;

use common::*;
use std::collections::HashMap;
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Requests that the client sends at once.
const COMMANDS: usize = 10;
/// Length of each body, as in the example of the protocol page.
const BODY_BYTES: usize = 212;
/// The commands are written in pieces of this length, with this time between two of them.
const PIECE_BYTES: usize = 150;
const PIECE_INTERVAL: Duration = Duration::from_millis(6);
/// Time of the work on one request: `quote-issue` takes 73 to 130 ms of a core of speed 1, and a server of the kind
/// `slow-3c` has a core speed of 0.51 to 0.69.
const WORK: Duration = Duration::from_millis(220);
/// The class's time. A try is given up after 50 to 100% of it.
const REMAINING_MS: u64 = 2500;
/// The request, counted from 0, that is given up after half of the class's time.
const SHORT: usize = 7;
const SHORT_MS: u64 = REMAINING_MS / 2;
/// Time after its own time by which a request must have its answer.
const SLACK: Duration = Duration::from_millis(500);
const ROOMS: [&str; 3] = ["room-a", "room-b", "room-c"];
const SERVERS: usize = 9;

/// A request that was written whole.
struct Sent {
    id: String,
    written_at: Instant,
}

fn main() {
    let record = Record::new();
    let trouble = with_trouble();
    record.line(format!("trouble: {trouble}"));
    let runs: Arc<Mutex<HashMap<String, usize>>> = Arc::default();
    let servers: Vec<Server> = (0..SERVERS)
        .map(|number| {
            let (record, runs) = (record.clone(), runs.clone());
            Server::start(move |message| {
                let id = message.header("X-Txn").unwrap_or("-").to_owned();
                thread::sleep(WORK);
                *runs.lock().unwrap().entry(id.clone()).or_default() += 1;
                record.line(format!("quote server {number} has run {id}"));
                Reply::Send(response(200, "X-Units-Charged: 1\r\n", &id))
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
            memory_mb: 192,
            sockets: 1024,
        },
    );

    let requests: Vec<(String, Vec<u8>)> = (0..COMMANDS)
        .map(|number| {
            Request {
                class: "quote-issue",
                method: "POST",
                customer: 100 + number as u64,
                remaining_ms: if number == SHORT {
                    SHORT_MS
                } else {
                    REMAINING_MS
                },
                headers: "",
                body: &vec![b'q'; BODY_BYTES],
            }
            .encode()
        })
        .collect();
    let stream = gateway.connect();
    let (sent, answers, end) = if trouble {
        send_at_once(&record, stream, requests)
    } else {
        send_one_by_one(&record, stream, requests)
    };
    record.line(format!("the connection's end as the client sees it: {end}"));
    thread::sleep(2 * WORK);
    if let Some(status) = gateway.ended() {
        record.say(format!("BROKEN: the gateway has ended: {status}"));
        drop(gateway);
        std::process::exit(1);
    }
    drop(gateway);

    // The check: each request that was written whole has one whole answer, in its time and half a second.
    let mut lost = 0;
    for (request, answer) in sent
        .iter()
        .zip(answers.iter().map(Some).chain(std::iter::repeat(None)))
    {
        let limit = Duration::from_millis(REMAINING_MS) + SLACK;
        match answer {
            Some((status, at)) if *at - request.written_at <= limit => {
                record.line(format!("{}: {status}", request.id));
            }
            Some((status, at)) => {
                lost += 1;
                let after = *at - request.written_at;
                record.line(format!(
                    "{}: LOST: {status} only after {after:?}",
                    request.id
                ));
            }
            None => {
                lost += 1;
                record.line(format!(
                    "{}: LOST: written whole, never answered",
                    request.id
                ));
            }
        }
    }
    let served = answers.iter().filter(|(status, _)| *status == 200).count();
    record.say(format!(
        "{COMMANDS} requests, {} written whole, {} answered ({served} with 200), {lost} lost; {end}",
        sent.len(),
        answers.len(),
    ));
    if sent.len() < COMMANDS && lost == 0 {
        cannot_run(&record, "not all requests could be written");
    }
    record.say(if lost > 0 {
        "BROKEN: accepted requests were never answered"
    } else {
        "HELD"
    });
    std::process::exit(i32::from(lost > 0));
}

type Outcome = (Vec<Sent>, Vec<(u16, Instant)>, String);

/// Writes all requests without waiting for answers, while another thread reads these.
fn send_at_once(record: &Record, stream: TcpStream, requests: Vec<(String, Vec<u8>)>) -> Outcome {
    let writing = stream.try_clone().expect("the stream can be cloned");
    let log = record.clone();
    let writer = thread::spawn(move || write_in_pieces(&log, &writing, requests));
    let (answers, end) = read_answers(record, stream, COMMANDS);
    let sent = writer.join().expect("the writer does not panic");
    (sent, answers, end)
}

/// Sends each request after the answer to the one before.
fn send_one_by_one(
    record: &Record,
    stream: TcpStream,
    requests: Vec<(String, Vec<u8>)>,
) -> Outcome {
    let mut sent = Vec::new();
    let mut answers = Vec::new();
    let mut end = String::new();
    for request in requests {
        sent.extend(write_in_pieces(record, &stream, vec![request]));
        let copy = stream.try_clone().expect("the stream can be cloned");
        let (answer, last_end) = read_answers(record, copy, 1);
        answers.extend(answer);
        end = last_end;
    }
    (sent, answers, end)
}

/// Writes requests one behind another, in pieces. Returns those that were written whole.
fn write_in_pieces(
    record: &Record,
    mut stream: &TcpStream,
    requests: Vec<(String, Vec<u8>)>,
) -> Vec<Sent> {
    let mut bytes = Vec::new();
    let mut ends = Vec::new();
    for (id, message) in requests {
        bytes.extend_from_slice(&message);
        ends.push((bytes.len(), id));
    }
    let mut sent = Vec::new();
    let mut written = 0;
    for piece in bytes.chunks(PIECE_BYTES) {
        if written > 0 {
            thread::sleep(PIECE_INTERVAL);
        }
        if let Err(error) = stream.write_all(piece) {
            record.line(format!("client cannot write: {error}"));
            break;
        }
        written += piece.len();
        while let Some((_, id)) = ends.get(sent.len()).filter(|(end, _)| *end <= written) {
            record.line(format!("client has written {id} whole"));
            sent.push(Sent {
                id: id.clone(),
                written_at: Instant::now(),
            });
        }
    }
    sent
}

fn read_answers(record: &Record, stream: TcpStream, count: usize) -> (Vec<(u16, Instant)>, String) {
    let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
    let mut reader = BufReader::new(stream);
    let mut answers = Vec::new();
    while answers.len() < count {
        let Some(answer) = read_message(&mut reader) else {
            break;
        };
        let body = String::from_utf8_lossy(&answer.body).trim().to_owned();
        record.line(format!("client got {} ({body})", answer.first_line));
        answers.push((answer.status(), Instant::now()));
    }
    let end = if answers.len() == count {
        "all answers came".to_owned()
    } else {
        match reader.read(&mut [0; 1]) {
            Ok(0) => "the gateway closed the connection (end of stream, no reset)".to_owned(),
            Ok(_) => "part of an answer".to_owned(),
            Err(error) => format!("no end: {error}"),
        }
    };
    (answers, end)
}
