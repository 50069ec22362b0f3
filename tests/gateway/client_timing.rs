//! The timing of requests: sent ahead, begun late, or arriving during a stall of the process.

use crate::stand_ins::*;
use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How long the endpoint of these tests serves the first request of a connection.
const SERVICE_TIME: Duration = Duration::from_secs(1);
/// Allowed excess of the propagated time over the time that the client has left, in ms.
const REMAINING_SLACK_MS: u64 = 150;

/// An endpoint that serves each request for a second, and the remaining times that were propagated to it.
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

/// A client sends two requests on one connection, and the second waits behind the first. If its remaining time counted
/// from when it is served, endpoints would work on it after its client has given up. The time that it waited is
/// subtracted from the deadline that is propagated.
#[test]
fn the_remaining_time_of_a_request_sent_ahead_counts_from_its_arrival() {
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
            read_message(&mut client).expect("an answer");
        }
        let propagated = propagated.lock().unwrap().clone();
        let waited_ms = SERVICE_TIME.as_millis() as u64 - if pieces == 1 { 0 } else { 100 };
        let left_ms = 1500 - waited_ms;
        assert!(
            propagated.len() < 2 || propagated[1] <= left_ms + REMAINING_SLACK_MS,
            "{name}: {propagated:?}, {left_ms} left"
        );
    }
}

/// A client sends megabytes behind its request and disconnects before the attempt is written. The end of its stream is
/// behind bytes that nobody reads, so the attempt would be sent for a client that has left. The disconnect is noticed
/// however much was sent ahead, and the attempt is given up.
#[test]
fn a_client_that_leaves_behind_megabytes_sent_ahead_ends_its_request() {
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
            "{megabytes} MB: {:?}",
            start.elapsed()
        );
    }
}

/// The process stalls while connections are about to reach their idle time-out, and requests arrive meanwhile. Running
/// again, it finds the time-out passed and closes connections with requests unread; the clients see a close without a
/// response. Each request is served, on new connections and on those that were idle.
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
    // The time-out is 2.3 s.
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
    let statuses: Vec<_> = clients
        .iter_mut()
        .map(|c| read_message(c).map(|answer| answer.status()))
        .collect();
    assert_eq!(statuses, [Some(200); 6]);
}

/// A client sends the first bytes of a request shortly before its connection reaches the idle time-out, and the rest
/// later. If the time-out ran on, a request in transmission would be cut off. Its time limit counts from its first
/// byte, so it is served.
#[test]
fn a_request_begun_late_has_its_time_from_its_first_byte() {
    let (endpoint, _) = healthy_endpoint();
    let gateway = Gateway::new(&config_with_silent_discovery(&[endpoint]));
    for (was_idle, begun_ms, rest_ms) in [
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
        sleep(Duration::from_millis(begun_ms));
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
            "was idle: {was_idle}, begun after {begun_ms} ms, complete {rest_ms} ms later"
        );
    }
}

/// The process is asked to end while a client has sent a part of a head. If the connection were closed as idle, the
/// client would lose its request. The connection is kept until the rest arrives, the request is served, and the process
/// still ends well.
#[test]
fn a_partial_head_at_shutdown_is_waited_for() {
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
    // Connections close 0.6 s after the signal, and the program may end 1 s after it.
    sleep(Duration::from_millis(800));
    for (customer, client) in clients.iter_mut().enumerate() {
        client
            .get_mut()
            .write_all(&request(customer).as_bytes()[40..])
            .unwrap();
    }
    let statuses: Vec<_> = clients
        .iter_mut()
        .map(|c| read_message(c).map(|answer| answer.status()))
        .collect();
    assert_eq!(statuses, [Some(200); 4]);
    assert!(gateway.child.wait().unwrap().success());
}
