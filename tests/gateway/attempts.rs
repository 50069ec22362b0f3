//! Attempts on endpoints and their responses.

use crate::stand_ins::*;
use std::io::{Read, Write};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Guards against requests or responses that are altered on the way, so that the receiver acts on wrong data. Path,
/// ids, headers and body must arrive unchanged, with a remaining time below the client's.
#[test]
fn forwards_a_request_and_its_response_unchanged() {
    let (endpoint, received) = healthy_endpoint();
    let gateway = Gateway::new(&config_with_silent_discovery(&[endpoint]));
    let id = 0x9b1f_03aa_5c7e_2d41;
    let request = post_request_with_id(id, "order", IDEMPOTENCY_KEY_HEADER, "two pallets");
    let response = gateway.exchange(&request);
    assert_eq!(
        (response.status(), response.body.as_slice()),
        (200, &b"stock: 12"[..])
    );
    let received = received.lock().unwrap();
    assert_eq!(received.len(), 1);
    assert_eq!(
        received[0].line,
        "POST /order?account=0000000000000007 HTTP/1.1"
    );
    assert_eq!(received[0].headers["x-txn"], "9b1f03aa5c7e2d41");
    assert_eq!(
        received[0].headers["idempotency-key"],
        "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
    );
    assert_eq!(received[0].body, b"two pallets");
    let remaining: u64 = received[0].headers["x-remaining-ms"].parse().unwrap();
    assert!(
        remaining > 0 && remaining < 3000,
        "the endpoint gets X-Remaining-Ms: {remaining}, expected 1 to 2999"
    );
}

/// An endpoint is down, or rejects requests while it is full. The request was not executed, so even a non-idempotent
/// request must be retried on another endpoint, and the client gets a success.
#[test]
fn a_request_that_was_never_executed_is_retried_on_another_endpoint() {
    let (endpoint, received) = healthy_endpoint();
    let full = start_server(|_| Reply::Send(response(503, "X-Turned-Away: 1\r\n", "")));
    // A non-idempotent request is retried only if it is known that the request was not executed.
    for bad in [unused_address(), full] {
        let gateway = Gateway::new(&config_with_silent_discovery(&[bad, endpoint]));
        for _ in 0..2 {
            assert_eq!(
                gateway.exchange(&post_request("once", "", "x")).status(),
                200
            );
        }
    }
    assert_eq!(received.lock().unwrap().len(), 4);
}

/// An endpoint fails after it has read a request: it responds with an error, or closes the connection before or during
/// its response. The request may have been executed, and a retry could execute it twice. The client must get 502, and
/// the endpoint must get no second attempt.
#[test]
fn a_non_idempotent_request_that_may_have_executed_is_not_retried() {
    for reply in [
        || Reply::Send(response(500, "", "")),
        // A 503 without `X-Turned-Away` does not prove that the request was not executed.
        || Reply::Send(response(503, "", "")),
        || Reply::SendAndClose(String::new()),
        // A truncated body counts as a reset, not as a response.
        || Reply::SendAndClose("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nsto".to_owned()),
    ] {
        let count = Arc::new(Mutex::new(0));
        let seen = count.clone();
        let addr = start_server(move |_| {
            *seen.lock().unwrap() += 1;
            reply()
        });
        let gateway = Gateway::new(&config_with_silent_discovery(&[addr, addr]));
        assert_eq!(
            gateway.exchange(&post_request("once", "", "x")).status(),
            502
        );
        assert_eq!(*count.lock().unwrap(), 1);
    }
}

/// An endpoint reads a request and never responds. If the gateway kept waiting, the client would wait beyond its
/// deadline, and the endpoint would go on working for nobody. The client must get 502 in time, and the connection must
/// be closed. The request must not be sent again, as it may have been executed.
#[test]
fn a_timed_out_attempt_closes_its_connection_and_the_client_gets_502_in_time() {
    let (closed_sender, closed) = channel();
    let addr = start_server(move |_| Reply::StaySilent(closed_sender.clone()));
    let gateway = Gateway::new(&config_with_silent_discovery(&[addr, addr]));
    let start = Instant::now();
    let response = gateway.exchange(
        &post_request("once", "", "x").replace("Remaining-Ms: 3000", "Remaining-Ms: 600"),
    );
    // The request may have been executed, so the response must not say that a retry is safe.
    assert_eq!(response.status(), 502);
    assert!(
        start.elapsed() < Duration::from_millis(1400),
        "the response took {:?}, expected less than 1.4 s",
        start.elapsed()
    );
    closed
        .recv_timeout(TEST_TIMEOUT)
        .expect("the connection of the attempt is closed");
    assert!(closed.try_recv().is_err(), "the request was sent again");
}

/// An endpoint closes a connection after its response, while the gateway keeps the connection for the next request. A
/// request written on it would be reset and would fail, as it may have been executed. The gateway must detect the close
/// and open another connection.
#[test]
fn a_connection_that_broke_while_idle_is_not_reused() {
    let count = Arc::new(Mutex::new(0));
    let seen = count.clone();
    let addr = start_server(move |_| {
        *seen.lock().unwrap() += 1;
        Reply::SendAndClose(response(200, "", "ok"))
    });
    let gateway = Gateway::new(&config_with_silent_discovery(&[addr]));
    for _ in 0..3 {
        // On a broken connection the request would fail: the gateway could not rule out that it was executed.
        assert_eq!(
            gateway.exchange(&post_request("once", "", "x")).status(),
            200
        );
        // Lets the close of the connection arrive.
        std::thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(*count.lock().unwrap(), 3);
}

/// A faulty endpoint sends an invalid response, or one that is too large. Reading on would use up the client's time or
/// the gateway's memory. The request must fail at once.
#[test]
fn invalid_responses_fail_the_request_at_once() {
    for invalid in [
        "\u{1}\u{2}noise\u{3}\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: +5\r\n\r\nstock",
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nstock",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nstock\r\n0\r\n\r\n",
        "HTTP/1.1 101 Switching Protocols\r\n\r\n",
    ] {
        let addr = start_server(move |_| Reply::Send(invalid.to_owned()));
        let gateway = Gateway::new(&config_with_silent_discovery(&[addr]));
        let start = Instant::now();
        assert_eq!(
            gateway.exchange(&post_request("once", "", "x")).status(),
            502,
            "{invalid:?}"
        );
        assert!(
            start.elapsed() < Duration::from_secs(1),
            "{invalid:?}: the request failed after {:?}, expected less than 1 s",
            start.elapsed()
        );
    }
}

/// A faulty endpoint sends each response twice. The second copy would be read as the response to the next request on
/// the connection, which may be of another client. Each request must get its own response.
#[test]
fn bytes_after_a_response_are_not_read_as_the_next_response() {
    let number = Mutex::new(0);
    let addr = start_server(move |_| {
        *number.lock().unwrap() += 1;
        let response = response(200, "", &format!("answer {}", number.lock().unwrap()));
        Reply::Send(response.repeat(2))
    });
    let gateway = Gateway::new(&config_with_silent_discovery(&[addr]));
    let mut connection = gateway.connect();
    for round in 1..=10 {
        connection
            .get_mut()
            .write_all(get_request(round, 1, 3000).as_bytes())
            .unwrap();
        assert_eq!(
            read_message(&mut connection).unwrap().body,
            format!("answer {round}").into_bytes()
        );
    }
}

/// A faulty endpoint announces a length that is shorter than its body. The client would get a body that ends in the
/// middle as a whole one. The response must count as spoilt: it has run, and the client gets no part of it.
#[test]
fn a_body_that_is_longer_than_its_length_is_not_served_cut_off() {
    let body = "1234.56 PLN a month";
    let spoilt = response(200, "", body).replace(
        &format!("Content-Length: {}", body.len()),
        &format!("Content-Length: {}", body.len() - 15),
    );
    let count = Arc::new(Mutex::new(0));
    let seen = count.clone();
    let faulty = start_server(move |_| {
        *seen.lock().unwrap() += 1;
        Reply::Send(spoilt.clone())
    });
    let gateway = Gateway::new(&config_with_silent_discovery(&[faulty, faulty]));
    let response = gateway.exchange(&post_request("once", "", "x"));
    assert_eq!(response.status(), 502);
    assert_eq!(
        *count.lock().unwrap(),
        1,
        "the request has run, and was sent again"
    );
}

/// An endpoint moves to another address while an attempt is in flight at the old address. The connection of that
/// attempt becomes idle afterwards, when the old address may belong to another endpoint. The attempt must complete, and
/// all later attempts must go to the new address.
#[test]
fn a_connection_to_a_former_address_is_not_reused() {
    let (started_sender, started) = channel();
    let (release, wait) = channel::<()>();
    let wait = Mutex::new(wait);
    let old = start_server(move |_| {
        started_sender.send(()).unwrap();
        wait.lock().unwrap().recv().unwrap();
        Reply::Send(response(200, "", "old"))
    });
    let (new, _) = healthy_endpoint();
    let discovery = Discovery::new();
    let gateway = Gateway::new(&config(
        &[old],
        start_counter(Arc::default()),
        discovery.addr,
    ));
    let (_, mut watch) = discovery.next_call();
    let mut connection = gateway.connect();
    connection
        .get_mut()
        .write_all(get_request(1, 1, 3000).as_bytes())
        .unwrap();
    started.recv_timeout(TEST_TIMEOUT).unwrap();
    let moved = serde_json::json!({"version": 8, "full": false, "servers": [invalid_entry(), list_entry(0, new, "Ready")]});
    push_update(&mut watch, &moved.to_string());
    gateway.wait_until_list_is_applied();
    release.send(()).unwrap();
    assert_eq!(read_message(&mut connection).unwrap().body, b"old");
    for customer in 2..6 {
        std::thread::sleep(Duration::from_millis(10));
        assert_eq!(gateway.get(customer, 1).body, b"stock: 12");
    }
}

/// An endpoint is started again at its address while a connection to its former process is idle. That process has gone
/// without closing the connection, as when its machine fails. A request on the connection would reach no one. It must go
/// to the new process.
#[test]
fn a_connection_to_a_former_process_is_not_reused() {
    let connections = Arc::new(Mutex::new(0));
    let count = connections.clone();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let endpoint = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = std::io::BufReader::new(stream.unwrap());
            *count.lock().unwrap() += 1;
            let number = *count.lock().unwrap();
            std::thread::spawn(move || {
                // A process answers one request and is then gone, with its connections left open.
                read_message(&mut stream).unwrap();
                let answer = response(200, "", &format!("process {number}"));
                stream.get_mut().write_all(answer.as_bytes()).unwrap();
                let _ = stream.get_mut().read(&mut [0; 4096]);
                std::thread::sleep(TEST_TIMEOUT);
            });
        }
    });
    let discovery = Discovery::new();
    let gateway = Gateway::new(&config(
        &[endpoint],
        start_counter(Arc::default()),
        discovery.addr,
    ));
    let (_, mut watch) = discovery.next_call();
    let exchange = || gateway.exchange(&post_request("once", "", "x")).body;
    assert_eq!(exchange(), b"process 1");
    let mut entry = list_entry(0, endpoint, "Ready");
    entry["started_ms"] = 1_000.into();
    let restarted =
        serde_json::json!({"version": 8, "full": false, "servers": [invalid_entry(), entry]});
    push_update(&mut watch, &restarted.to_string());
    gateway.wait_until_list_is_applied();
    // Lets the time pass for which a connection is not reused after a response.
    std::thread::sleep(Duration::from_millis(20));
    assert_eq!(exchange(), b"process 2");
}
