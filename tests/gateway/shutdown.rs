//! Shutdown after SIGTERM, with requests that arrive at any time during it on connections that were opened before.

use crate::stand_ins::*;
use std::collections::HashSet;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};

/// Maximum time that the longest request deadline contributes to the termination grace period.
const GRACE_DEADLINE_CAP: Duration = Duration::from_secs(3);
/// Time that the termination grace period adds to the contribution of the longest deadline.
const GRACE_MARGIN: Duration = Duration::from_millis(700);
/// Duration of a stall of the process.
const STALL_DURATION: Duration = Duration::from_millis(150);
/// Number of clients in a run. Their requests are spread evenly over the termination grace period.
const CLIENTS: u32 = 60;
/// Time between the two pieces of a request that is sent in two pieces.
const PIECE_INTERVAL: Duration = Duration::from_millis(120);
/// Tolerance by which a propagated deadline may be later than the end of the process, as the two are measured at
/// different times.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(50);

/// The way in which a client sends its requests.
#[derive(Clone, Copy, Debug)]
enum Sending {
    Complete,
    InTwoPieces,
    TwoAtOnce,
}

/// An attempt that the endpoint received.
struct ReceivedAttempt {
    transaction: String,
    /// The remaining time that the gateway propagated in `X-Remaining-Ms`.
    remaining_time: Duration,
    received_at: Instant,
}

/// The result of one request.
struct RequestResult {
    transaction: String,
    /// The status of the response, and whether the response has `Connection: close`. `None` if no complete response
    /// arrived.
    answer: Option<(u16, bool)>,
}

/// The record of the shutdown of a process whose endpoint never responds.
struct ShutdownRun {
    sigterm_sent_at: Instant,
    exited_at: Instant,
    exited_successfully: bool,
    requests: Vec<RequestResult>,
    attempts: Vec<ReceivedAttempt>,
    log: String,
}

impl ShutdownRun {
    /// Transaction ids of the requests that reached the endpoint and whose clients got no response.
    fn lost_requests(&self) -> Vec<&str> {
        let received: HashSet<_> = self
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
            .filter(|id| received.contains(id))
            .collect()
    }
}

fn transaction_of(request: &str) -> String {
    let start = request.find("X-Txn: ").unwrap() + "X-Txn: ".len();
    request[start..start + 16].to_owned()
}

/// Connects at once, sends at `send_at` and collects the responses. The first piece of a request in two pieces is sent
/// at `first_piece_at`.
fn start_client(
    addr: SocketAddr,
    sending: Sending,
    texts: [String; 2],
    send_at: Instant,
    first_piece_at: Instant,
) -> JoinHandle<Vec<RequestResult>> {
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
            // Writing fails once the process has exited.
            let _ = client.get_mut().write_all(rest.as_bytes());
            rest = last;
        }
        wait_until(send_at);
        let _ = client.get_mut().write_all(rest.as_bytes());
        let result_of = |text: &String| {
            let answer = read_message(&mut client);
            let closes = |answer: &Message| {
                answer
                    .headers
                    .get("connection")
                    .is_some_and(|v| v == "close")
            };
            let answer = answer.map(|answer| (answer.status(), closes(&answer)));
            RequestResult {
                transaction: transaction_of(text),
                answer,
            }
        };
        requests.iter().map(result_of).collect()
    })
}

/// Shuts a process down while requests arrive until the time of SIGKILL. If `stall_after` is given, the process stalls
/// once, that time after SIGTERM.
fn terminate_under_requests(
    deadline_ms: u32,
    sending: Sending,
    stall_after: Option<Duration>,
) -> ShutdownRun {
    let attempts = Arc::new(Mutex::new(Vec::new()));
    let received = attempts.clone();
    let endpoint = start_server(move |request| {
        let remaining_ms = request.headers["x-remaining-ms"].parse().unwrap();
        received.lock().unwrap().push(ReceivedAttempt {
            transaction: request.headers["x-txn"].clone(),
            remaining_time: Duration::from_millis(remaining_ms),
            received_at: Instant::now(),
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
    // All connections are established before SIGTERM, and accepted before SIGTERM or shortly after it.
    let first_pieces_from = Instant::now();
    let sigterm_at = first_pieces_from + PIECE_INTERVAL;
    let client = |number: u32| {
        let texts =
            [number, number + CLIENTS].map(|customer| get_request(customer.into(), 1, deadline_ms));
        let offset = termination_grace * number / CLIENTS;
        // A first piece is sent PIECE_INTERVAL before its second piece, as `first_pieces_from` is before `sigterm_at`.
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
    let sigterm_sent_at = Instant::now();
    gateway.signal("-TERM");
    if let Some(stall_after) = stall_after {
        sleep(stall_after.saturating_sub(sigterm_sent_at.elapsed()));
        gateway.signal("-STOP");
        sleep(STALL_DURATION);
        gateway.signal("-CONT");
    }
    let exited_successfully = gateway.child.wait().unwrap().success();
    let exited_at = Instant::now();
    let requests = clients
        .into_iter()
        .flat_map(|client| client.join().unwrap())
        .collect();
    let attempts = std::mem::take(&mut *attempts.lock().unwrap());
    let log = gateway.log.try_iter().collect::<Vec<_>>().join("\n");
    ShutdownRun {
        sigterm_sent_at,
        exited_at,
        exited_successfully,
        requests,
        attempts,
        log,
    }
}

/// Shuts a process down under requests. Returns a description of what went wrong, or `None` if nothing did.
fn shutdown_fault(
    deadline_ms: u32,
    sending: Sending,
    stall_after: Option<Duration>,
) -> Option<String> {
    let run = terminate_under_requests(deadline_ms, sending, stall_after);
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
    let exited_after = run.exited_at - run.sigterm_sent_at;
    Some(format!(
        "{deadline_ms} ms, {sending:?}, stall after {stall_after:?}: exited after {exited_after:?}, \
         successful: {is_successful}, {answered} of {} answered, {} lost: {lost:?}",
        run.requests.len(),
        lost.len()
    ))
}

/// A process shuts down while requests arrive until SIGKILL: complete, in two pieces, or two at once. A client that
/// gets no response to a request that reached an endpoint cannot know whether a retry is safe. Each request that
/// reached the endpoint must get a complete response before the process exits.
#[test]
fn every_forwarded_request_is_answered_before_the_process_exits() {
    let sendings = [Sending::Complete, Sending::InTwoPieces, Sending::TwoAtOnce];
    let cases = [120, 300, 1700]
        .into_iter()
        .flat_map(|ms| sendings.map(|sending| (ms, sending)));
    let faults: Vec<_> = cases
        .filter_map(|(ms, sending)| shutdown_fault(ms, sending, None))
        .collect();
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

/// The machine stalls the process once during its shutdown. After the stall, timers are due while requests that arrived
/// during it are still unread, so a step of the shutdown could drop them. Whenever the stall occurs, each request that
/// reached the endpoint must get a complete response before SIGKILL.
#[test]
fn a_stall_during_the_shutdown_loses_no_request() {
    let stall_times = (1..=8).map(|tenths| Duration::from_millis(100 * tenths));
    let faults: Vec<_> = stall_times
        .filter_map(|at| shutdown_fault(300, Sending::Complete, Some(at)))
        .collect();
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

/// A process forwards requests shortly before it exits. If it propagated the full remaining time of the clients, an
/// endpoint would work on requests for longer than the process can wait for the response. Propagated deadlines must not
/// be later than the end of the process.
#[test]
fn deadlines_propagated_during_the_shutdown_end_with_the_process() {
    let run = terminate_under_requests(1000, Sending::Complete, None);
    let mut attempts_after_sigterm = run
        .attempts
        .iter()
        .filter(|attempt| attempt.received_at > run.sigterm_sent_at);
    let overrun = attempts_after_sigterm.find(|attempt| {
        attempt.received_at + attempt.remaining_time > run.exited_at + DEADLINE_TOLERANCE
    });
    let overrun =
        overrun.map(|attempt| (attempt.remaining_time, run.exited_at - attempt.received_at));
    assert_eq!(
        overrun, None,
        "time propagated, and time until the process exited, of an attempt"
    );
}

/// A client has sent half a request when the process starts to refuse requests, and the system interrupts or shortens
/// the write of the response. If the connection is closed without a response, the client cannot know that its request
/// was not executed. The client must get a complete 503.
#[test]
fn partial_requests_get_503_at_shutdown_even_if_writes_fail() {
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
        let statuses = read_statuses(&mut clients);
        assert_eq!(
            statuses,
            [Some(503); 20],
            "statuses of partial requests, with the faults {faults}"
        );
        let exit = gateway.child.wait().unwrap();
        assert!(
            exit.success(),
            "the gateway ended with {exit} after SIGTERM, expected success (faults: {faults})"
        );
    }
}
