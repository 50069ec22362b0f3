//! The end after SIGTERM, with requests that come at any moment of it, on connections that were opened before.

use crate::stand_ins::*;
use std::collections::HashSet;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};

/// SIGKILL follows SIGTERM no sooner than after the longest deadline, capped at this ...
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// ... plus this.
const KILL_GRACE: Duration = Duration::from_millis(700);
/// A process may stall for this long at any point.
const STALL: Duration = Duration::from_millis(150);
/// Clients of a run; their requests are spread evenly over the whole end.
const CLIENTS: u32 = 60;
/// The first piece of a request that comes in two is sent this long before the second.
const PIECE_INTERVAL: Duration = Duration::from_millis(120);
/// How much longer than the process lives an attempt may be told: clocks are read at different moments.
const TOLD_SLACK: Duration = Duration::from_millis(50);

/// How a client sends what it has to send.
#[derive(Clone, Copy, Debug)]
enum Sending {
    Whole,
    InTwoPieces,
    TwoAtOnce,
}

/// An attempt as the endpoint saw it.
struct SeenAttempt {
    transaction: String,
    told: Duration,
    at: Instant,
}

/// What came of one request.
struct RequestEnd {
    transaction: String,
    /// The status of its response, and whether that asks to close the connection; none without a whole response.
    answer: Option<(u16, bool)>,
}

/// One end of a process whose endpoint answers nothing.
struct Run {
    terminated_at: Instant,
    ended_at: Instant,
    has_ended_well: bool,
    requests: Vec<RequestEnd>,
    attempts: Vec<SeenAttempt>,
    log: String,
}

impl Run {
    /// Requests that the endpoint has got and whose clients got no response.
    fn lost(&self) -> Vec<&str> {
        let seen: HashSet<_> = self
            .attempts
            .iter()
            .map(|attempt| attempt.transaction.as_str())
            .collect();
        let unanswered = self
            .requests
            .iter()
            .filter(|request| request.answer.is_none());
        unanswered
            .map(|request| request.transaction.as_str())
            .filter(|id| seen.contains(id))
            .collect()
    }
}

fn transaction_of(request: &str) -> String {
    let start = request.find("X-Txn: ").unwrap() + "X-Txn: ".len();
    request[start..start + 16].to_owned()
}

/// Connects at once, sends at its time and waits until the connection has ended.
fn start_client(
    addr: SocketAddr,
    sending: Sending,
    texts: [String; 2],
    send_at: Instant,
    first_piece_at: Instant,
) -> JoinHandle<Vec<RequestEnd>> {
    let stream = std::net::TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let mut client = std::io::BufReader::new(stream);
    spawn(move || {
        let wait_until = |at: Instant| sleep(at.saturating_duration_since(Instant::now()));
        let requests = if matches!(sending, Sending::TwoAtOnce) {
            &texts[..]
        } else {
            &texts[..1]
        };
        let mut rest = requests.concat();
        if matches!(sending, Sending::InTwoPieces) {
            wait_until(first_piece_at);
            let last = rest.split_off(rest.len() / 2);
            // Writing fails where the process has ended.
            let _ = client.get_mut().write_all(rest.as_bytes());
            rest = last;
        }
        wait_until(send_at);
        let _ = client.get_mut().write_all(rest.as_bytes());
        let end_of = |text: &String| {
            let answer = read_message(&mut client);
            let closes = |answer: &Message| {
                answer
                    .headers
                    .get("connection")
                    .is_some_and(|v| v == "close")
            };
            let answer = answer.map(|answer| (answer.status(), closes(&answer)));
            RequestEnd {
                transaction: transaction_of(text),
                answer,
            }
        };
        requests.iter().map(end_of).collect()
    })
}

/// Ends a process under requests that come at any time until it is killed. It stalls once, if `stalled_at` says
/// so, this long after SIGTERM.
fn end_under_requests(deadline_ms: u32, sending: Sending, stalled_at: Option<Duration>) -> Run {
    let attempts = Arc::new(Mutex::new(Vec::new()));
    let seen = attempts.clone();
    let endpoint = start_server(move |request| {
        let told_ms = request.headers["x-remaining-ms"].parse().unwrap();
        seen.lock().unwrap().push(SeenAttempt {
            transaction: request.headers["x-txn"].clone(),
            told: Duration::from_millis(told_ms),
            at: Instant::now(),
        });
        Reply::StaySilent(channel().0)
    });
    let mut config = config_with_silent_discovery(&[endpoint]);
    for class in config["settings"]["categories"].as_array_mut().unwrap() {
        (class["aim-ms"], class["give-up-ms"]) = (deadline_ms.into(), deadline_ms.into());
    }
    let mut gateway = Gateway::new(&config);
    let kill_after =
        Duration::from_millis(deadline_ms.into()).min(MAX_COUNTED_DEADLINE) + KILL_GRACE;
    // All connections are up before SIGTERM, and accepted by then or a moment later.
    let started_at = Instant::now();
    let planned_end = started_at + PIECE_INTERVAL;
    let client = |number: u32| {
        let texts =
            [number, number + CLIENTS].map(|customer| get_request(customer.into(), 1, deadline_ms));
        let after = kill_after * number / CLIENTS;
        // The first piece is sent at PIECE_INTERVAL before the second.
        start_client(
            gateway.addr,
            sending,
            texts,
            planned_end + after,
            started_at + after,
        )
    };
    let clients: Vec<_> = (1..=CLIENTS).map(client).collect();
    sleep(planned_end.saturating_duration_since(Instant::now()));
    let terminated_at = Instant::now();
    gateway.signal("-TERM");
    if let Some(stalled_at) = stalled_at {
        sleep(stalled_at.saturating_sub(terminated_at.elapsed()));
        gateway.signal("-STOP");
        sleep(STALL);
        gateway.signal("-CONT");
    }
    let has_ended_well = gateway.child.wait().unwrap().success();
    let ended_at = Instant::now();
    let requests = clients
        .into_iter()
        .flat_map(|client| client.join().unwrap())
        .collect();
    let attempts = std::mem::take(&mut *attempts.lock().unwrap());
    let log = gateway.log.try_iter().collect::<Vec<_>>().join("\n");
    Run {
        terminated_at,
        ended_at,
        has_ended_well,
        requests,
        attempts,
        log,
    }
}

/// What is wrong with such an end; none if nothing is.
fn fault_of(deadline_ms: u32, sending: Sending, stalled_at: Option<Duration>) -> Option<String> {
    let run = end_under_requests(deadline_ms, sending, stalled_at);
    let lost = run.lost();
    let answered = run
        .requests
        .iter()
        .filter(|request| request.answer.is_some())
        .count();
    let is_well = run.has_ended_well && !run.log.contains("rule broken");
    if is_well && lost.is_empty() && answered > 0 {
        return None;
    }
    let ended_after = run.ended_at - run.terminated_at;
    Some(format!(
        "{deadline_ms} ms, {sending:?}, stalled at {stalled_at:?}: ended after {ended_after:?}, well: {is_well}, \
         {answered} of {} answered, {} lost: {lost:?}",
        run.requests.len(),
        lost.len()
    ))
}

/// Whatever was read has a whole response when the process ends, however late it came and in whatever pieces.
#[test]
fn every_request_that_was_read_is_answered_before_the_process_ends() {
    let sendings = [Sending::Whole, Sending::InTwoPieces, Sending::TwoAtOnce];
    let cases = [120, 300, 1700]
        .into_iter()
        .flat_map(|ms| sendings.map(|sending| (ms, sending)));
    let faults: Vec<_> = cases
        .filter_map(|(ms, sending)| fault_of(ms, sending, None))
        .collect();
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

/// The same for a process that stalls once, at any point of its end.
#[test]
fn a_process_that_is_held_up_at_its_end_loses_no_request() {
    let moments = (1..=8).map(|tenths| Duration::from_millis(100 * tenths));
    let faults: Vec<_> = moments
        .filter_map(|at| fault_of(300, Sending::Whole, Some(at)))
        .collect();
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

/// Endpoints are told no more time than the process has left itself.
#[test]
fn attempts_of_a_process_that_ends_tell_no_time_beyond_its_end() {
    let run = end_under_requests(1000, Sending::Whole, None);
    let mut late = run
        .attempts
        .iter()
        .filter(|attempt| attempt.at > run.terminated_at);
    let beyond = late.find(|attempt| attempt.at + attempt.told > run.ended_at + TOLD_SLACK);
    let beyond = beyond.map(|attempt| (attempt.told, run.ended_at - attempt.at));
    assert_eq!(beyond, None, "told, and left to the process");
}

/// Requests of which a part has come when the process ends are refused, also where the system interrupts or cuts short
/// what is written.
#[test]
fn requests_that_come_in_part_are_refused_at_the_end_though_writes_fail() {
    for faults in ["send_eintr=500", "send_short=900"] {
        let endpoint = start_server(|_| Reply::StaySilent(channel().0));
        let mut config = config_with_silent_discovery(&[endpoint]);
        for class in config["settings"]["categories"].as_array_mut().unwrap() {
            (class["aim-ms"], class["give-up-ms"]) = (300.into(), 300.into());
        }
        let mut gateway = Gateway::with_faults(&config, faults);
        let mut clients: Vec<_> = (0..20).map(|_| gateway.connect()).collect();
        for (customer, client) in (1..).zip(&mut clients) {
            let request = get_request(customer, 1, 300);
            client
                .get_mut()
                .write_all(&request.as_bytes()[..request.len() / 2])
                .unwrap();
        }
        gateway.signal("-TERM");
        let statuses: Vec<_> = clients
            .iter_mut()
            .map(|client| read_message(client).map(|answer| answer.status()))
            .collect();
        assert_eq!(statuses, [Some(503); 20], "{faults}");
        assert!(gateway.child.wait().unwrap().success());
    }
}
