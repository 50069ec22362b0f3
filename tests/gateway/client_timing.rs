//! Request timing: pipelined requests, requests that start late, and requests that arrive while the process stalls.

use crate::stand_ins::*;
use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Time that the endpoint of these tests takes to serve a request.
const SERVICE_TIME: Duration = Duration::from_secs(1);
/// Tolerance by which the propagated remaining time may exceed the client's remaining time, in ms.
const REMAINING_SLACK_MS: u64 = 150;

/// Starts an endpoint that takes [`SERVICE_TIME`] for each request. Returns its address and the remaining times, in ms,
/// that were propagated to it.
fn slow_endpoint() -> (std::net::SocketAddr, Arc<Mutex<Vec<u64>>>) {
    let propagated = Arc::new(Mutex::new(Vec::new()));
    let seen = propagated.clone();
    let addr = start_server(move |request| {
        seen.lock()
            .unwrap()
            .push(request.headers["x-remaining-ms"].parse().unwrap());
        sleep(SERVICE_TIME);
        Reply::Send(response(200, "", "done"))
    });
    (addr, propagated)
}

/// A client pipelines two requests on one connection, and the second waits until the first is answered. If the
/// remaining time of the second counted from the start of its service, endpoints would work on it after its client has
/// given up. The waiting time must be subtracted from the propagated remaining time.
#[test]
fn the_remaining_time_of_a_pipelined_request_counts_from_its_arrival() {
    for (name, pieces) in [("in one piece", 1), ("in two pieces", 2)] {
        let (endpoint, propagated) = slow_endpoint();
        let gateway = Gateway::new(&config_with_silent_discovery(&[endpoint]));
        let mut client = gateway.connect();
        let requests = [get_request(1, 1, 3000), get_request(2, 1, 1500)];
        if pieces == 1 {
            client
                .get_mut()
                .write_all(requests.concat().as_bytes())
                .unwrap();
        } else {
            for request in &requests {
                client.get_mut().write_all(request.as_bytes()).unwrap();
                sleep(Duration::from_millis(100));
            }
        }
        for _ in 0..2 {
            read_message(&mut client).expect("the gateway responds");
        }
        let propagated = propagated.lock().unwrap().clone();
        let waited_ms = SERVICE_TIME.as_millis() as u64 - if pieces == 1 { 0 } else { 100 };
        let expected_ms = 1500 - waited_ms;
        assert!(
            propagated.len() < 2 || propagated[1] <= expected_ms + REMAINING_SLACK_MS,
            "{name}: propagated {propagated:?} ms, expected at most {expected_ms} + {REMAINING_SLACK_MS} for the second"
        );
    }
}

/// A client sends megabytes after its request and disconnects before the attempt is written. The end of its stream
/// follows bytes that nobody reads, so the attempt could be sent for a client that has disconnected. The disconnect
/// must be detected however many bytes precede it, and the attempt must be abandoned.
#[test]
fn a_disconnect_after_megabytes_of_pipelined_bytes_ends_the_request() {
    let stalled = StalledEndpoint::new();
    let mut config = config_with_silent_discovery(&[stalled.addr]);
    config["settings"]["limits"]["connect-timeout-ms"] = 20_000.into();
    config["settings"]["categories"][2]["aim-ms"] = 4000.into();
    let gateway = Gateway::new(&config);
    for megabytes in [2, 4] {
        let mut client = TcpStream::connect(gateway.addr).unwrap();
        client
            .write_all(post_request("once", "", "x").as_bytes())
            .unwrap();
        stalled.wait_for_pending(1);
        client.write_all(&vec![b'x'; megabytes << 20]).unwrap();
        drop(client);
        let start = Instant::now();
        stalled.wait_for_pending(0);
        assert!(
            start.elapsed() < Duration::from_millis(1500),
            "{megabytes} MiB: the attempt ended after {:?}, expected less than 1.5 s",
            start.elapsed()
        );
    }
}

/// The process stalls while connections are about to reach their idle timeout, and requests arrive during the stall. A
/// process that then finds the timeout expired could close connections with unread requests, and their clients would
/// get no response. Each request must be served, on new connections and on idle ones.
#[test]
fn a_request_that_arrives_during_a_stall_over_the_idle_timeout_is_served() {
    let (endpoint, _) = healthy_endpoint();
    let gateway = Gateway::new(&config_with_silent_discovery(&[endpoint]));
    let mut clients: Vec<_> = (0..6).map(|_| gateway.connect()).collect();
    for (customer, client) in clients.iter_mut().enumerate().skip(3) {
        client
            .get_mut()
            .write_all(get_request(customer as u64, 1, 3000).as_bytes())
            .unwrap();
        assert_eq!(read_message(client).unwrap().status(), 200);
    }
    // The idle timeout is 2.3 s.
    sleep(Duration::from_millis(2200));
    gateway.signal("-STOP");
    sleep(Duration::from_millis(150));
    for (customer, client) in clients.iter_mut().enumerate() {
        client
            .get_mut()
            .write_all(get_request(10 + customer as u64, 1, 3000).as_bytes())
            .unwrap();
    }
    gateway.signal("-CONT");
    let statuses = read_statuses(&mut clients);
    assert_eq!(statuses, [Some(200); 6]);
}

/// A client sends the first bytes of a request shortly before its connection reaches the idle timeout, and the rest
/// later. If the idle timeout still applied, the request would be cut off in transmission. The time limit of a request
/// must start with its first byte, so that this request is served.
#[test]
fn the_time_limit_of_a_request_starts_with_its_first_byte() {
    let (endpoint, _) = healthy_endpoint();
    let gateway = Gateway::new(&config_with_silent_discovery(&[endpoint]));
    for (was_idle, started_ms, rest_ms) in [
        (false, 1500, 1000),
        (false, 2100, 500),
        (true, 1500, 1000),
        (true, 2100, 1500),
    ] {
        let mut client = gateway.connect();
        if was_idle {
            client
                .get_mut()
                .write_all(get_request(1, 1, 3000).as_bytes())
                .unwrap();
            assert_eq!(read_message(&mut client).unwrap().status(), 200);
        }
        let request = post_request("once", "", "x");
        sleep(Duration::from_millis(started_ms));
        client
            .get_mut()
            .write_all(&request.as_bytes()[..20])
            .unwrap();
        sleep(Duration::from_millis(rest_ms));
        client
            .get_mut()
            .write_all(&request.as_bytes()[20..])
            .unwrap();
        let status = read_message(&mut client).map(|answer| answer.status());
        assert_eq!(
            status,
            Some(200),
            "was idle: {was_idle}, started after {started_ms} ms, complete {rest_ms} ms later"
        );
    }
}

/// SIGTERM arrives before a client has sent all of a request's head. If the connection were closed as idle, the client
/// would lose its request. The connection must stay open until the rest arrives, the request must be served, and the
/// process must exit with success.
#[test]
fn shutdown_waits_for_the_rest_of_a_partial_head() {
    let (endpoint, _) = healthy_endpoint();
    let mut gateway = Gateway::new(&config_with_silent_discovery(&[endpoint]));
    let mut clients: Vec<_> = (0..4).map(|_| gateway.connect()).collect();
    for (customer, client) in clients.iter_mut().enumerate().skip(2) {
        client
            .get_mut()
            .write_all(get_request(customer as u64, 1, 3000).as_bytes())
            .unwrap();
        assert_eq!(read_message(client).unwrap().status(), 200);
    }
    gateway.signal("-TERM");
    sleep(Duration::from_millis(400));
    let request = |customer: usize| get_request(10 + customer as u64, 1, 3000);
    for (customer, client) in clients.iter_mut().enumerate() {
        client
            .get_mut()
            .write_all(&request(customer).as_bytes()[..40])
            .unwrap();
    }
    // Idle connections close 0.6 s after the signal, and the program may exit 1 s after it.
    sleep(Duration::from_millis(800));
    for (customer, client) in clients.iter_mut().enumerate() {
        client
            .get_mut()
            .write_all(&request(customer).as_bytes()[40..])
            .unwrap();
    }
    let statuses = read_statuses(&mut clients);
    assert_eq!(statuses, [Some(200); 4]);
    let exit = gateway.child.wait().unwrap();
    assert!(
        exit.success(),
        "the gateway ended with {exit} after SIGTERM, expected success"
    );
}
