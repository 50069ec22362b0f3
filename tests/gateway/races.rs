//! Events between two steps of a request. A stand-in holds the request between these steps.

use crate::stand_ins::*;
use socket2::SockRef;
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A configuration in which establishing a connection may take long.
fn config_with_long_connect_timeout(
    endpoints: &[SocketAddr],
    discovery: SocketAddr,
) -> serde_json::Value {
    let mut config = config(endpoints, start_counter(Arc::default()), discovery);
    config["settings"]["limits"]["connect-timeout-ms"] = 20_000.into();
    config["settings"]["categories"][2]["aim-ms"] = 4000.into();
    config
}

/// Sends a request and waits until the connection to the stalled endpoint is pending. Returns the client's connection.
fn start_request(gateway: &Gateway, stalled: &StalledEndpoint) -> BufReader<TcpStream> {
    let mut client = gateway.connect();
    client
        .get_mut()
        .write_all(post_request("once", "", "x").as_bytes())
        .unwrap();
    stalled.wait_for_pending(1);
    client
}

/// An endpoint starts draining while a connection to it is being established. A request assigned to it before could
/// arrive after the draining notice, and might be cut off when the endpoint stops. Nothing must be written on the
/// connection, and another endpoint must get the request.
#[test]
fn an_endpoint_that_drains_while_connecting_gets_no_request() {
    let stalled = StalledEndpoint::new();
    let (ready, _) = healthy_endpoint();
    let discovery = Discovery::new();
    let gateway = Gateway::new(&config_with_long_connect_timeout(
        &[stalled.addr],
        discovery.addr,
    ));
    let (_, mut watch) = discovery.next_call();
    let mut client = start_request(&gateway, &stalled);
    let servers = serde_json::json!([
        invalid_entry(),
        list_entry(0, stalled.addr, "Terminating"),
        list_entry(1, ready, "Ready")
    ]);
    push_update(
        &mut watch,
        &serde_json::json!({"version": 8, "full": false, "servers": servers}).to_string(),
    );
    gateway.wait_until_list_is_applied();
    let mut late = stalled.accept_first();
    assert_eq!(read_message(&mut client).unwrap().body, b"stock: 12");
    late.set_nonblocking(true).unwrap();
    assert!(
        late.read(&mut [0]).map_or(true, |bytes| bytes == 0),
        "something was sent to a draining endpoint"
    );
}

/// Bytes in the client's send queue that have not been acknowledged.
fn unacknowledged_bytes(client: &TcpStream) -> usize {
    let port = format!(":{:04X}", client.local_addr().unwrap().port());
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let candidates = table.lines().filter(|row| row.contains(&port));
    let mut rows = candidates.map(|row| row.split_whitespace().collect::<Vec<_>>());
    let row = rows
        .find(|row| row[1].ends_with(&port))
        .expect("/proc/net/tcp lists the client's connection");
    usize::from_str_radix(row[4].split(':').next().unwrap(), 16).unwrap()
}

/// A client disconnects while the connection to an endpoint is being established: by a close, a reset or a half-close,
/// with or without pipelined bytes. An attempt written after that would cause work for nobody. The attempt must be
/// abandoned before it is written, although the settings forbid cancelling attempts that were sent.
#[test]
fn a_client_disconnect_while_connecting_ends_the_attempt() {
    let stalled = StalledEndpoint::new();
    let discovery = Discovery::new();
    let mut config = config_with_long_connect_timeout(&[stalled.addr], discovery.addr);
    config["settings"]["limits"]["cancel"] = false.into();
    let gateway = Gateway::new(&config);
    let close = |client: TcpStream| drop(client);
    let reset = |client: TcpStream| {
        SockRef::from(&client)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
    };
    let mut kept = Vec::new();
    let mut half_close = |client: TcpStream| {
        client.shutdown(Shutdown::Write).unwrap();
        kept.push(client);
    };
    let requests_of_size =
        |bytes: usize| get_request(1, 1, 3000).repeat(bytes / get_request(1, 1, 3000).len());
    let pipelined = [
        get_request(1, 1, 3000),
        get_request(1, 1, 3000).repeat(200),
        "noise".to_owned(),
        requests_of_size(300_000),
    ];
    let cases: [(&str, &mut dyn FnMut(TcpStream)); 8] = [
        ("", &mut { close }),
        ("", &mut { reset }),
        ("", &mut half_close),
        (&pipelined[0], &mut { close }),
        (&pipelined[1], &mut { reset }),
        (&pipelined[2], &mut { close }),
        (&pipelined[3], &mut { close }),
        (&pipelined[3], &mut { reset }),
    ];
    for (number, (pipelined, disconnect)) in cases.into_iter().enumerate() {
        let mut client = TcpStream::connect(gateway.addr).unwrap();
        client
            .write_all((post_request("once", "", "x") + pipelined).as_bytes())
            .unwrap();
        stalled.wait_for_pending(1);
        // Waits until the pipelined bytes have arrived, because the end of the stream follows them.
        let start = Instant::now();
        while unacknowledged_bytes(&client) > 0 {
            assert!(
                start.elapsed() < TEST_TIMEOUT,
                "case {number}: {} bytes are not acknowledged",
                unacknowledged_bytes(&client)
            );
            std::thread::yield_now();
        }
        let start = Instant::now();
        disconnect(client);
        stalled.wait_for_pending(0);
        assert!(
            start.elapsed() < Duration::from_millis(1500),
            "case {number}: the attempt ended after {:?}, expected less than 1.5 s",
            start.elapsed()
        );
    }
}

/// A client pipelines many requests on one connection. If the responses were in another order, the client would match
/// them with the wrong requests. Each request must get its own response, in order.
#[test]
fn pipelined_requests_are_answered_in_order() {
    let endpoint = start_server(|m| Reply::Send(response(200, "", &m.headers["x-txn"])));
    let gateway = Gateway::new(&config_with_silent_discovery(&[endpoint]));
    let mut client = gateway.connect();
    let texts: Vec<_> = (1..=50)
        .map(|customer| get_request(customer, 1, 3000))
        .collect();
    client
        .get_mut()
        .write_all(texts.concat().as_bytes())
        .unwrap();
    for customer in 1..=50 {
        assert_eq!(
            read_message(&mut client)
                .expect("the gateway responds")
                .body,
            format!("0000{customer:012x}").as_bytes()
        );
    }
}

/// A client disconnects while its request waits for the shared counter. When the wait ends, the request could be
/// forwarded for a client that has disconnected. The endpoint must get only the next request, which waits as long and
/// starts later.
#[test]
fn a_client_disconnect_during_the_counter_call_sends_nothing() {
    let (endpoint, received) = healthy_endpoint();
    let (call_sender, calls) = channel();
    let silent = start_server(move |_| {
        let _ = call_sender.send(());
        Reply::StaySilent(channel().0)
    });
    let discovery = Discovery::new();
    let mut config = config(&[endpoint], silent, discovery.addr);
    // The maximum wait for the counter is a share of the latency objective.
    config["settings"]["categories"][2]["aim-ms"] = 4000.into();
    config["settings"]["domain"]["counter-timeout-ms"] = 20_000.into();
    let gateway = Gateway::new(&config);
    let mut client = TcpStream::connect(gateway.addr).unwrap();
    client
        .write_all(post_request("once", "", "left").as_bytes())
        .unwrap();
    calls
        .recv_timeout(TEST_TIMEOUT)
        .expect("the gateway calls the counter");
    drop(client);
    let next_request = post_request("once", "", "stays");
    assert_eq!(gateway.exchange(&next_request).status(), 200);
    let bodies: Vec<_> = received
        .lock()
        .unwrap()
        .iter()
        .map(|m| m.body.clone())
        .collect();
    assert_eq!(bodies, [b"stays"]);
}

/// Establishing the connection for an attempt takes long. If the attempt stated the time that remained when it was
/// created, the endpoint would work on it after its client has given up. The attempt must state the time that remains
/// when it is written.
#[test]
fn an_attempt_sends_the_time_remaining_when_it_is_written() {
    let stalled = StalledEndpoint::new();
    let gateway = Gateway::new(&config_with_long_connect_timeout(
        &[stalled.addr],
        Discovery::new().addr,
    ));
    let _client = start_request(&gateway, &stalled);
    std::thread::sleep(Duration::from_millis(800));
    let late = stalled.accept_first();
    let message = read_message(&mut BufReader::new(late)).expect("the endpoint gets a request");
    let remaining_ms: u64 = message.headers["x-remaining-ms"].parse().unwrap();
    assert!(
        remaining_ms <= 2200,
        "the attempt states {remaining_ms} ms of 3000 after 800 ms, expected at most 2200"
    );
}

/// A client leaves while an endpoint works on its request, and the request comes again under the same id. The endpoint
/// would execute it a second time. The second one must be refused, also after the endpoint has answered the first one.
#[test]
fn a_request_whose_client_has_left_is_not_executed_again_under_its_id() {
    const ID: u64 = 77;
    let (started_sender, started) = channel();
    let (release, wait) = channel::<()>();
    let wait = Mutex::new(wait);
    let endpoint = start_server(move |_| {
        started_sender.send(()).unwrap();
        wait.lock().unwrap().recv().unwrap();
        Reply::Send(response(200, "", "done"))
    });
    let gateway = Gateway::new(&config_with_silent_discovery(&[endpoint, endpoint]));
    let request = post_request_with_id(ID, "once", "", "x");
    let mut client = gateway.connect();
    client.get_mut().write_all(request.as_bytes()).unwrap();
    started.recv_timeout(TEST_TIMEOUT).unwrap();
    drop(client);
    assert_eq!(gateway.exchange(&request).status(), 409);
    release.send(()).unwrap();
    assert_eq!(gateway.exchange(&request).status(), 409);
    release.send(()).unwrap();
    let other = post_request_with_id(ID + 1, "once", "", "x");
    assert_eq!(gateway.exchange(&other).status(), 200);
    assert_eq!(
        started.try_iter().count(),
        1,
        "the request was executed twice"
    );
}
