//! Rare events that occur at the same time.

use crate::stand_ins::*;
use socket2::{Domain, Socket, Type};
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// An endpoint sends a response without a length, so that only the close of the connection ends the body. If the
/// connection breaks, the client could get a truncated body as a success. The response must be forwarded only after an
/// orderly close. If the connection is reset, never closed, or the body too long, the client must get 502, and the
/// request must not be retried, as it was executed.
#[test]
fn a_response_without_a_length_is_forwarded_only_after_an_orderly_close() {
    let head = "HTTP/1.1 200 OK\r\n\r\n";
    let long = format!("{head}{}", "x".repeat(65 * 1024));
    let cases = [
        ("ended", "stock: 12", 200),
        ("reset", "stock: 12", 502),
        ("without end", "stock: 12", 502),
        ("too long", &long, 502),
    ];
    for (name, body, status) in cases {
        let count = Arc::new(AtomicUsize::new(0));
        let seen = count.clone();
        let text = format!("{head}{body}");
        let addr = start_server(move |_| {
            seen.fetch_add(1, Ordering::SeqCst);
            match name {
                "reset" => Reply::SendAndReset(text.clone()),
                "without end" => Reply::Send(text.clone()),
                _ => Reply::SendAndClose(text.clone()),
            }
        });
        let gateway = Gateway::new(&config_with_silent_discovery(&[addr]));
        let start = Instant::now();
        let request =
            post_request("once", "", "x").replace("Remaining-Ms: 3000", "Remaining-Ms: 800");
        let answer = gateway.exchange(&request);
        assert_eq!(answer.status(), status, "{name}: status of the response");
        assert!(status != 200 || answer.body == body.as_bytes());
        assert!(
            start.elapsed() < Duration::from_millis(1400),
            "{name}: the response took {:?}, expected less than 1.4 s",
            start.elapsed()
        );
        assert_eq!(count.load(Ordering::SeqCst), 1, "{name}: attempts");
    }
}

/// An overloaded discovery sends the complete list, and rejects the watch that should follow. If the list were dropped
/// with the failed watch, the gateway would go on sending to endpoints that are draining according to that list. The
/// list must apply at once.
#[test]
fn a_complete_list_applies_even_if_its_watch_is_rejected() {
    let (draining, received_by_draining) = healthy_endpoint();
    let (ready, _) = healthy_endpoint();
    let first = Discovery::new();
    let mut config = config(
        &[draining, ready],
        start_counter(Arc::default()),
        first.addr,
    );
    let gateway = Gateway::new(&config);
    let servers = serde_json::json!([
        list_entry(0, draining, "Terminating"),
        list_entry(1, ready, "Ready")
    ]);
    let list = serde_json::json!({"version": 9, "full": true, "servers": servers}).to_string();
    let (list_call_sender, list_calls) = channel();
    let overloaded = start_server(move |call| {
        if call.line.contains("stream=1") {
            return Reply::Send(response(503, "", ""));
        }
        let _ = list_call_sender.send(());
        Reply::Send(response(200, "", &list))
    });
    config["discovery"] = overloaded.to_string().into();
    let logged = gateway.reload(&config.to_string());
    assert!(
        !logged.contains("reload failed"),
        "expected a successful reload: {logged}"
    );
    for _ in 0..3 {
        list_calls
            .recv_timeout(TEST_TIMEOUT)
            .expect("the gateway requests the complete list");
    }
    let before = received_by_draining.lock().unwrap().len();
    for customer in 0..10 {
        assert_eq!(gateway.get(customer, 1).status(), 200);
    }
    assert_eq!(
        received_by_draining.lock().unwrap().len(),
        before,
        "requests were sent to a draining endpoint"
    );
}

/// A request with an idempotency key fails, and the connection for its retry is established only after the window in
/// which endpoints remember the key. The endpoint would not recognize the retry and would execute the request a second
/// time. Nothing must be written on the late connection, and the client must get 502.
#[test]
fn a_keyed_retry_is_not_sent_after_its_window() {
    let (started_sender, started) = channel();
    let (release, wait) = channel::<()>();
    let wait = Mutex::new(wait);
    let failing = start_server(move |_| {
        let _ = started_sender.send(());
        let _ = wait.lock().unwrap().recv();
        Reply::SendAndClose(String::new())
    });
    let late_endpoint = StalledEndpoint::new();
    let discovery = Discovery::new();
    let mut config = config(&[failing], start_counter(Arc::default()), discovery.addr);
    config["settings"]["limits"]["connect-timeout-ms"] = 20_000.into();
    config["settings"]["categories"][1]["aim-ms"] = 3900.into();
    let gateway = Gateway::new(&config);
    let (_, mut watch) = discovery.next_call();
    let mut client = gateway.connect();
    let request = post_request("order", IDEMPOTENCY_KEY_HEADER, "x")
        .replace("Remaining-Ms: 3000", "Remaining-Ms: 4000");
    client.get_mut().write_all(request.as_bytes()).unwrap();
    started.recv_timeout(TEST_TIMEOUT).unwrap();
    // The idempotency window is 2.5 s.
    let first_attempt_at = Instant::now();
    let servers = serde_json::json!([
        invalid_entry(),
        list_entry(0, failing, "Terminating"),
        list_entry(1, late_endpoint.addr, "Ready")
    ]);
    push_update(
        &mut watch,
        &serde_json::json!({"version": 8, "full": false, "servers": servers}).to_string(),
    );
    gateway.wait_until_list_is_applied();
    sleep(Duration::from_secs(2).saturating_sub(first_attempt_at.elapsed()));
    release.send(()).unwrap();
    late_endpoint.wait_for_pending(1);
    sleep(Duration::from_millis(2600).saturating_sub(first_attempt_at.elapsed()));
    let mut received = Vec::new();
    let mut connection = BufReader::new(late_endpoint.accept_first());
    assert_eq!(
        read_message(&mut client)
            .expect("the gateway responds")
            .status(),
        502
    );
    connection
        .get_mut()
        .set_read_timeout(Some(Duration::from_millis(200)))
        .unwrap();
    let _ = connection.read_to_end(&mut received);
    assert!(
        received.is_empty(),
        "the request was sent again: {}",
        String::from_utf8_lossy(&received)
    );
}

/// While the process stalls, a client sends a request and disconnects, with or without bytes after the request. After
/// the stall, the process reads the request first and could forward it for a client that has disconnected. Nothing must
/// be sent for such a client, whether its connection is new or was idle.
#[test]
fn a_client_that_disconnects_during_a_stall_gets_nothing_sent() {
    let (endpoint, received) = healthy_endpoint();
    let mut config = config_with_silent_discovery(&[endpoint]);
    // Without the counter, attempts are not delayed by calls to it.
    config["settings"]["domain"]["may-count"] = false.into();
    let gateway = Gateway::new(&config);
    // Opens a connection to the endpoint, which the next attempts reuse.
    assert_eq!(gateway.get(90, 1).status(), 200);
    let cases = [
        (false, 0),
        (true, 0),
        (false, 300_000),
        (true, 1_000_000),
        (false, 2_000_000),
    ];
    for (case, (is_reused, pipelined_bytes)) in (0..).zip(cases) {
        sleep(Duration::from_millis(50));
        let mut client = gateway.connect();
        if is_reused {
            client
                .get_mut()
                .write_all(get_request(20 + case, 1, 3000).as_bytes())
                .unwrap();
            assert_eq!(read_message(&mut client).unwrap().status(), 200);
            sleep(Duration::from_millis(50));
        }
        received.lock().unwrap().clear();
        gateway.signal("-STOP");
        client
            .get_mut()
            .write_all(get_request(30 + case, 1, 3000).as_bytes())
            .unwrap();
        client
            .get_mut()
            .write_all(&vec![b'x'; pipelined_bytes])
            .unwrap();
        drop(client);
        sleep(Duration::from_millis(150));
        gateway.signal("-CONT");
        assert_eq!(gateway.get(case, 1).status(), 200);
        let sent: Vec<_> = received
            .lock()
            .unwrap()
            .iter()
            .map(|m| m.headers["x-txn"].clone())
            .collect();
        assert_eq!(
            sent,
            [format!("{case:016x}")],
            "reused: {is_reused}, {pipelined_bytes} bytes after the request"
        );
    }
}

/// Other clients have used up the read-ahead budget, and a client disconnects during a stall with bytes after its
/// request. The gateway does not read up to the end of that stream, so the request could be forwarded for a client that
/// has disconnected. The disconnect must be detected despite the unread bytes, and nothing must be sent.
#[test]
fn a_disconnect_after_bytes_over_the_read_ahead_budget_is_detected() {
    let sent = Arc::new(Mutex::new(Vec::new()));
    let seen = sent.clone();
    let endpoint = start_server(move |request| {
        let transaction = request.headers["x-txn"].clone();
        let hangs = transaction.ends_with("ff");
        seen.lock().unwrap().push(transaction);
        if hangs {
            return Reply::StaySilent(channel().0);
        }
        Reply::Send(response(200, "", "done"))
    });
    let mut config = config_with_silent_discovery(&[endpoint]);
    // Without the counter, attempts are not delayed by calls to it.
    config["settings"]["domain"]["may-count"] = false.into();
    let gateway = Gateway::new(&config);
    assert_eq!(gateway.get(90, 1).status(), 200);
    // The read-ahead budget is 1 MiB per client and 4 MiB in total.
    let _other_clients: Vec<_> = (1..=5)
        .map(|number| {
            let mut client = gateway.connect();
            client
                .get_mut()
                .write_all(get_request(number << 8 | 0xff, 1, 3500).as_bytes())
                .unwrap();
            client.get_mut().write_all(&vec![b'x'; 1 << 20]).unwrap();
            client
        })
        .collect();
    let start = Instant::now();
    while sent.lock().unwrap().len() < 6 {
        assert!(
            start.elapsed() < TEST_TIMEOUT,
            "the endpoint has got {} requests, expected those of 6 clients",
            sent.lock().unwrap().len()
        );
        sleep(Duration::from_millis(5));
    }
    sleep(Duration::from_millis(50));
    sent.lock().unwrap().clear();
    gateway.signal("-STOP");
    let mut client = gateway.connect();
    client
        .get_mut()
        .write_all(get_request(30, 1, 3000).as_bytes())
        .unwrap();
    client.get_mut().write_all(&vec![b'x'; 20_000]).unwrap();
    drop(client);
    sleep(Duration::from_millis(150));
    gateway.signal("-CONT");
    assert_eq!(gateway.get(31, 1).status(), 200);
    // An attempt for the disconnected client would arrive within some milliseconds.
    sleep(Duration::from_millis(200));
    assert_eq!(
        *sent.lock().unwrap(),
        [format!("{:016x}", 31)],
        "requests that were sent, expected none of the disconnected client"
    );
}

/// SIGTERM arrives while a client has several requests open on one connection. If the connection were closed after the
/// first response, the other requests would be lost. All requests must be answered, whether they arrived together or
/// one by one, and the process must exit with success.
#[test]
fn pipelined_requests_are_answered_at_shutdown() {
    for pieces in [1, 3] {
        let (started_sender, started) = channel();
        let endpoint = start_server(move |message| {
            let _ = started_sender.send(());
            sleep(Duration::from_millis(400));
            Reply::Send(response(200, "", &message.headers["x-txn"]))
        });
        let mut gateway = Gateway::new(&config_with_silent_discovery(&[endpoint]));
        let mut client = gateway.connect();
        let requests: Vec<_> = (1..=3)
            .map(|customer| get_request(customer, 1, 3000))
            .collect();
        if pieces == 1 {
            client
                .get_mut()
                .write_all(requests.concat().as_bytes())
                .unwrap();
        } else {
            for request in &requests {
                client.get_mut().write_all(request.as_bytes()).unwrap();
                sleep(Duration::from_millis(20));
            }
        }
        started.recv_timeout(TEST_TIMEOUT).unwrap();
        gateway.signal("-TERM");
        let bodies: Vec<_> = (1..=3)
            .map(|_| read_message(&mut client).map(|answer| answer.body))
            .collect();
        let expected: Vec<_> = (1..=3)
            .map(|customer| Some(format!("{customer:016x}").into_bytes()))
            .collect();
        assert_eq!(bodies, expected, "in {pieces} pieces");
        let exit = gateway.child.wait().unwrap();
        assert!(
            exit.success(),
            "the gateway ended with {exit} after SIGTERM, expected success (pieces: {pieces})"
        );
    }
}

/// A client reads its response slowly, while the shutdown closes connections or the idle timeout passes. If the
/// connection counted as idle as soon as the response is written, the client would get only a part of the body. The
/// client must get the whole body, and the process must exit with success.
#[test]
fn a_response_that_is_read_slowly_is_complete() {
    let body = "quote ".repeat(10_000);
    for shuts_down in [true, false] {
        let text = body.clone();
        let endpoint = start_server(move |_| Reply::Send(response(200, "", &text)));
        let mut gateway = Gateway::new(&config_with_silent_discovery(&[endpoint]));
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(4096).unwrap();
        socket.connect(&gateway.addr.into()).unwrap();
        let mut client = BufReader::with_capacity(512, TcpStream::from(socket));
        client
            .get_mut()
            .set_read_timeout(Some(TEST_TIMEOUT))
            .unwrap();
        client
            .get_mut()
            .write_all(get_request(1, 1, 3500).as_bytes())
            .unwrap();
        sleep(Duration::from_millis(200));
        if shuts_down {
            gateway.signal("-TERM");
        }
        // Idle connections close 0.6 s after the signal, or after the idle timeout of 2.3 s. The process may exit 1 s
        // after the signal.
        sleep(Duration::from_millis(if shuts_down { 1500 } else { 2800 }));
        let answer = read_message(&mut client).expect("the gateway sends a complete response");
        assert_eq!(
            answer.body.len(),
            body.len(),
            "size of the body, during a shutdown: {shuts_down}"
        );
        if shuts_down {
            let exit = gateway.child.wait().unwrap();
            assert!(
                exit.success(),
                "the gateway ended with {exit} after SIGTERM, expected success"
            );
        }
    }
}

/// The process stalls during its shutdown, and hundreds of clients connect and wait in the accept queue. If the
/// listener were closed then, the system would reset their connections, and they would get no response. Each client
/// must get a response first, and clients without a slot must get 503.
#[test]
fn clients_without_a_slot_get_503_when_the_listener_closes() {
    assert_clients_without_a_slot_are_answered("");
}

/// Clients connect as in the previous test, while the system interrupts one write in ten. An interrupted write that is
/// not repeated would leave a client without its 503. Each client must get its response.
#[test]
fn clients_without_a_slot_get_503_even_if_writes_are_interrupted() {
    assert_clients_without_a_slot_are_answered("send_eintr=100");
}

fn assert_clients_without_a_slot_are_answered(faults: &str) {
    let (endpoint, _) = healthy_endpoint();
    let mut config = config_with_silent_discovery(&[endpoint]);
    config["limits"]["sockets"] = 48.into();
    let mut gateway = Gateway::with_faults(&config, faults);
    gateway.signal("-TERM");
    let mut unready = gateway.exchange("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    while unready.status() == 200 {
        unready = gateway.exchange("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    }
    // The process stalls beyond the end of the accept period, and finds waiting clients afterwards.
    gateway.signal("-STOP");
    let head =
        post_request("once", "", "x").replace("\r\n\r\nx", "\r\nExpect: 100-continue\r\n\r\n");
    let mut clients: Vec<_> = (0..400).map(|_| gateway.connect()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        // Each open request needs its own transaction id, instead of the fixed one of `post_request`.
        let text = head.replace("9b1f03aa", &format!("{number:08x}"));
        client.get_mut().write_all(text.as_bytes()).unwrap();
    }
    sleep(Duration::from_millis(800));
    gateway.signal("-CONT");
    let statuses: Vec<_> = clients
        .iter_mut()
        .map(|client| read_message(client).map_or(0, |answer| answer.status()))
        .collect();
    let unanswered = statuses.iter().filter(|status| **status == 0).count();
    assert_eq!(
        unanswered, 0,
        "clients without a response (status 0): {statuses:?}"
    );
    assert!(statuses.contains(&503), "no client was without a slot");
    let exit = gateway.child.wait().unwrap();
    assert!(
        exit.success(),
        "the gateway ended with {exit} after SIGTERM, expected success (faults: {faults:?})"
    );
}
