//! Attempts on endpoints, and what comes back.

use crate::stand_ins::*;
use std::io::Write;
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// An endpoint that gets another request than the client sent, or a client that gets another response than the
/// endpoint's, acts on wrong data. Path, ids, headers and body must arrive unchanged, with a remaining time below the
/// client's.
#[test]
fn forwards_a_request_and_its_response_unchanged() {
    let (endpoint, received) = healthy_endpoint();
    let gateway = Gateway::new(&config_with_silent_discovery(&[endpoint]));
    let response = gateway.exchange(&post_request(
        "order",
        IDEMPOTENCY_KEY_HEADER,
        "two pallets",
    ));
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
    assert!(remaining > 0 && remaining < 3000, "{remaining}");
}

/// An endpoint is down, or rejects requests while it is full. The request was not executed, so that even one that is
/// not idempotent must be retried on another endpoint: the client sees success.
#[test]
fn a_request_that_was_never_executed_is_retried_on_another_endpoint() {
    let (endpoint, received) = healthy_endpoint();
    let full = start_server(|_| Reply::Send(response(503, "X-Turned-Away: 1\r\n", "")));
    // A request that is not idempotent is retried only if it is known not to have been executed.
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

/// An endpoint fails after it has read a request: it responds with an error, or closes the connection before or
/// within its response. The request may have been executed, and a retry could execute it twice. The client must get
/// 502, and the endpoint no second attempt.
#[test]
fn a_non_idempotent_request_that_may_have_executed_is_not_retried() {
    for reply in [
        || Reply::Send(response(500, "", "")),
        // Without the header a 503 proves nothing.
        || Reply::Send(response(503, "", "")),
        || Reply::SendAndClose(String::new()),
        // A body that ends too early is a reset, and no response.
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

/// An endpoint reads a request and never responds. It goes on working for nobody unless its connection is closed, and
/// the client must not wait longer than it said. It must get 502 in time, the connection must close, and nothing may
/// be sent again, as the request may have been executed.
#[test]
fn a_timed_out_attempt_closes_its_connection_and_is_answered_in_time() {
    let (closed_to, closed) = channel();
    let addr = start_server(move |_| Reply::StaySilent(closed_to.clone()));
    let gateway = Gateway::new(&config_with_silent_discovery(&[addr, addr]));
    let start = Instant::now();
    let response = gateway.exchange(
        &post_request("once", "", "x").replace("Remaining-Ms: 3000", "Remaining-Ms: 600"),
    );
    // It may have been executed, so the response promises nothing.
    assert_eq!(response.status(), 502);
    assert!(
        start.elapsed() < Duration::from_millis(1400),
        "{:?}",
        start.elapsed()
    );
    closed
        .recv_timeout(TEST_TIMEOUT)
        .expect("the attempt's connection ends");
    assert!(closed.try_recv().is_err(), "sent again");
}

/// An endpoint closes a connection after its response, while the gateway keeps it for the next request. A request
/// that is written to it ends as a reset, may have been executed, and fails. The gateway must see the end of the
/// connection and open another one.
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
        // Sent into a broken connection it might have been executed, and would fail.
        assert_eq!(
            gateway.exchange(&post_request("once", "", "x")).status(),
            200
        );
        // The end of the connection has to arrive.
        std::thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(*count.lock().unwrap(), 3);
}

/// A faulty endpoint sends what is no valid response, or one that is too large. Read on, it would use up the client's
/// time or the gateway's memory. The request must fail at once.
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
            "{invalid}"
        );
        assert!(
            start.elapsed() < Duration::from_secs(1),
            "it is known at once"
        );
    }
}

/// A faulty endpoint sends each response twice. The second copy stays in the connection, and would be read as the
/// response to the next request, of another client. Each client must get the response to its own request.
#[test]
fn bytes_behind_a_response_are_not_read_as_the_next_response() {
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

/// An endpoint moves to another address while an attempt is in flight at the old one. The connection of that attempt
/// becomes idle afterwards, and the old address may belong to another endpoint by then. The attempt must end as
/// usual, and all later ones must go to the new address.
#[test]
fn a_connection_to_a_former_address_is_not_reused() {
    let (begun_to, begun) = channel();
    let (go_on, wait) = channel::<()>();
    let wait = Mutex::new(wait);
    let old = start_server(move |_| {
        begun_to.send(()).unwrap();
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
    begun.recv_timeout(TEST_TIMEOUT).unwrap();
    let moved = serde_json::json!({"version": 8, "full": false, "servers": [invalid_entry(), list_entry(0, new, "Ready")]});
    push_update(&mut watch, &moved.to_string());
    gateway.wait_until_list_is_applied();
    go_on.send(()).unwrap();
    assert_eq!(read_message(&mut connection).unwrap().body, b"old");
    for customer in 2..6 {
        std::thread::sleep(Duration::from_millis(10));
        assert_eq!(gateway.get(customer, 1).body, b"stock: 12");
    }
}
