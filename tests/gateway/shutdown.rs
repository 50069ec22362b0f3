//! Shutdown after SIGTERM under requests that arrive at any moment of it, on connections that were opened before.

use crate::stand_ins::*;
use std::collections::HashSet;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};

/// The part of the longest deadline that the termination grace period covers.
const GRACE_DEADLINE_CAP: Duration = Duration::from_secs(3);
/// The part of the termination grace period beyond the longest deadline.
const GRACE_MARGIN: Duration = Duration::from_millis(700);
/// How long a process stalls.
const STALL: Duration = Duration::from_millis(150);
/// Clients of a run; their requests are spread evenly over the termination grace period.
const CLIENTS: u32 = 60;
/// The first piece of a request that comes in two is sent this long before the second.
const PIECE_INTERVAL: Duration = Duration::from_millis(120);
/// How far a propagated deadline may be behind the end of the process: the two are measured at different moments.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(50);

/// How a client sends what it has to send.
#[derive(Clone, Copy, Debug)]
enum Sending {
    Complete,
    InTwoPieces,
    TwoAtOnce,
}

/// An attempt as the endpoint saw it.
struct SeenAttempt {
    transaction: String,
    /// The time that was left until its deadline, as the gateway propagated it (`X-Remaining-Ms`).
    propagated_deadline: Duration,
    at: Instant,
}

/// What came of one request.
struct RequestEnd {
    transaction: String,
    /// The status of its response, and whether that asks to close the connection; none without a complete response.
    answer: Option<(u16, bool)>,
}

/// One shutdown of a process whose endpoint never responds.
struct ShutdownRun {
    terminated_at: Instant,
    ended_at: Instant,
    exited_successfully: bool,
    requests: Vec<RequestEnd>,
    attempts: Vec<SeenAttempt>,
    log: String,
}

impl ShutdownRun {
    /// Requests that the endpoint has got and whose clients got no response.
    fn lost_requests(&self) -> Vec<&str> {
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

/// Ends a process under requests that arrive at any time until SIGKILL. With `stalled_at` it stalls once, this long
/// after SIGTERM.
fn terminate_under_requests(
    deadline_ms: u32,
    sending: Sending,
    stalled_at: Option<Duration>,
) -> ShutdownRun {
    let attempts = Arc::new(Mutex::new(Vec::new()));
    let seen = attempts.clone();
    let endpoint = start_server(move |request| {
        let remaining_ms = request.headers["x-remaining-ms"].parse().unwrap();
        seen.lock().unwrap().push(SeenAttempt {
            transaction: request.headers["x-txn"].clone(),
            propagated_deadline: Duration::from_millis(remaining_ms),
            at: Instant::now(),
        });
        Reply::StaySilent(channel().0)
    });
    let mut config = config_with_silent_discovery(&[endpoint]);
    for class in config["settings"]["categories"].as_array_mut().unwrap() {
        (class["aim-ms"], class["give-up-ms"]) = (deadline_ms.into(), deadline_ms.into());
    }
    let mut gateway = Gateway::new(&config);
    let termination_grace =
        Duration::from_millis(deadline_ms.into()).min(GRACE_DEADLINE_CAP) + GRACE_MARGIN;
    // All connections are up before SIGTERM, and accepted by then or a moment later.
    let first_pieces_from = Instant::now();
    let sigterm_at = first_pieces_from + PIECE_INTERVAL;
    let client = |number: u32| {
        let texts =
            [number, number + CLIENTS].map(|customer| get_request(customer.into(), 1, deadline_ms));
        let offset = termination_grace * number / CLIENTS;
        // The first piece is sent at PIECE_INTERVAL before the second.
        start_client(
            gateway.addr,
            sending,
            texts,
            sigterm_at + offset,
            first_pieces_from + offset,
        )
    };
    let clients: Vec<_> = (1..=CLIENTS).map(client).collect();
    sleep(sigterm_at.saturating_duration_since(Instant::now()));
    let terminated_at = Instant::now();
    gateway.signal("-TERM");
    if let Some(stalled_at) = stalled_at {
        sleep(stalled_at.saturating_sub(terminated_at.elapsed()));
        gateway.signal("-STOP");
        sleep(STALL);
        gateway.signal("-CONT");
    }
    let exited_successfully = gateway.child.wait().unwrap().success();
    let ended_at = Instant::now();
    let requests = clients
        .into_iter()
        .flat_map(|client| client.join().unwrap())
        .collect();
    let attempts = std::mem::take(&mut *attempts.lock().unwrap());
    let log = gateway.log.try_iter().collect::<Vec<_>>().join("\n");
    ShutdownRun {
        terminated_at,
        ended_at,
        exited_successfully,
        requests,
        attempts,
        log,
    }
}

/// The fault of such a shutdown; none if it has none.
fn shutdown_fault(
    deadline_ms: u32,
    sending: Sending,
    stalled_at: Option<Duration>,
) -> Option<String> {
    let run = terminate_under_requests(deadline_ms, sending, stalled_at);
    let lost = run.lost_requests();
    let answered = run
        .requests
        .iter()
        .filter(|request| request.answer.is_some())
        .count();
    let is_successful = run.exited_successfully && !run.log.contains("rule broken");
    if is_successful && lost.is_empty() && answered > 0 {
        return None;
    }
    let ended_after = run.ended_at - run.terminated_at;
    Some(format!(
        "{deadline_ms} ms, {sending:?}, stalled at {stalled_at:?}: ended after {ended_after:?}, successful: {is_successful}, \
         {answered} of {} answered, {} lost: {lost:?}",
        run.requests.len(),
        lost.len()
    ))
}

/// A process ends under requests that arrive until SIGKILL, complete, in pieces, or two at once. A client whose
/// request reached an endpoint and that gets no response can't know whether to send it again. Each request that
/// reached the endpoint must have a complete response before the process ends.
#[test]
fn every_request_that_was_read_is_answered_before_the_process_ends() {
    let sendings = [Sending::Complete, Sending::InTwoPieces, Sending::TwoAtOnce];
    let cases = [120, 300, 1700]
        .into_iter()
        .flat_map(|ms| sendings.map(|sending| (ms, sending)));
    let faults: Vec<_> = cases
        .filter_map(|(ms, sending)| shutdown_fault(ms, sending, None))
        .collect();
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

/// The machine stalls the process once while it shuts down. When it goes on, timers are due and requests that arrived
/// meanwhile are still unread, so that a step of the shutdown may drop them. Whenever the stall comes, each request
/// that reached the endpoint must have a complete response, before SIGKILL.
#[test]
fn a_process_that_stalls_at_its_end_loses_no_request() {
    let moments = (1..=8).map(|tenths| Duration::from_millis(100 * tenths));
    let faults: Vec<_> = moments
        .filter_map(|at| shutdown_fault(300, Sending::Complete, Some(at)))
        .collect();
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

/// A process forwards requests shortly before its end, with the time that their clients still wait. An endpoint would
/// work on them for longer than the process can wait for the response. The propagated deadline must end with the
/// process.
#[test]
fn attempts_of_a_process_that_ends_propagate_no_time_beyond_its_end() {
    let run = terminate_under_requests(1000, Sending::Complete, None);
    let mut late = run
        .attempts
        .iter()
        .filter(|attempt| attempt.at > run.terminated_at);
    let beyond = late.find(|attempt| {
        attempt.at + attempt.propagated_deadline > run.ended_at + DEADLINE_TOLERANCE
    });
    let beyond = beyond.map(|attempt| (attempt.propagated_deadline, run.ended_at - attempt.at));
    assert_eq!(beyond, None, "propagated, and left to the process");
}

/// A client has sent half a request when the process refuses requests, and the system interrupts or cuts short the
/// write of the response. Closed without a response, the client can't know that its request was not executed. It must
/// get a complete 503.
#[test]
fn requests_that_arrive_in_part_are_refused_at_the_end_though_writes_fail() {
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
