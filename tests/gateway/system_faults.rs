//! Temporary failures of system calls, with errors that Linux documents. A preloaded library injects the faults.
//!
//! A text such as `recv_eintr=50,seed=7` selects the faults. Most numbers are rates: how many of a thousand calls are
//! affected. `tests/shim/syscall_faults.c` describes all names.

use crate::stand_ins::*;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// During a shutdown, accepting fails shortly before the listener closes: a connection was aborted, or no descriptor is
/// available. If the listener closed after such an error, clients in its queue would be reset and lose their requests.
/// The clients must be accepted and served.
#[test]
fn accept_errors_before_the_listener_closes_lose_no_client() {
    for faults in [
        "accept_abort=500",
        "accept_full=500",
        "accept_abort=700,accept_full=300,seed=7",
        "accept_full=750",
    ] {
        let (endpoint, _) = healthy_endpoint();
        let mut gateway = Gateway::with_faults(&config_with_silent_discovery(&[endpoint]), faults);
        gateway.signal("-TERM");
        let mut unready = gateway.exchange("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        while unready.status() == 200 {
            unready = gateway.exchange("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        }
        // The process stalls until after the time at which the listener is due to close. Meanwhile clients connect.
        gateway.signal("-STOP");
        let mut clients: Vec<_> = (0..40).map(|_| gateway.connect()).collect();
        for (customer, client) in clients.iter_mut().enumerate() {
            client
                .get_mut()
                .write_all(get_request(customer as u64, 1, 3000).as_bytes())
                .unwrap();
        }
        sleep(Duration::from_millis(800));
        gateway.signal("-CONT");
        let statuses = read_statuses(&mut clients);
        assert_eq!(
            statuses,
            [Some(200); 40],
            "statuses with the faults {faults}"
        );
        let exit = gateway.child.wait().unwrap();
        assert!(
            exit.success(),
            "the gateway ended with {exit} after SIGTERM, with the faults {faults}"
        );
    }
}

/// Number of unsuccessful requests after which a test sends no more.
const MAX_FAILURES: usize = 5;

/// The listener cannot accept for a second, and a client with a request waits in the listener's queue. If the client's
/// remaining time were counted from the accept, the endpoint would get a time that is too long, and would work for a
/// client that has given up. The wait must be subtracted from the remaining time propagated to the endpoint.
#[test]
fn the_wait_for_a_failing_listener_is_subtracted_from_the_propagated_time() {
    let (endpoint, received) = healthy_endpoint();
    // Accepting fails while this file exists.
    let switch = std::env::temp_dir().join(format!("quota-gateway-{}-accept", std::process::id()));
    let mut environment = fault_environment("accept_switch=1");
    environment.push(("GATEWAY_FAULT_SWITCH", switch.to_str().unwrap().to_owned()));
    let mut config = config_with_silent_discovery(&[endpoint]);
    // An attempt may time out early, at the latency objective of its class. Here the objective is longer than the
    // client waits, so that it does not shorten the propagated time.
    config["settings"]["categories"][0]["aim-ms"] = 4000.into();
    let gateway = Gateway::with_environment(&config, &environment);
    std::fs::write(&switch, "").unwrap();
    // The wait counts from the first accept error, which an earlier client causes.
    let _early = gateway.connect();
    let mut client = gateway.connect();
    client
        .get_mut()
        .write_all(get_request(1, 1, 3000).as_bytes())
        .unwrap();
    sleep(Duration::from_secs(1));
    std::fs::remove_file(&switch).unwrap();
    assert_eq!(
        read_message(&mut client)
            .expect("the gateway responds")
            .status(),
        200
    );
    let remaining_ms: u64 = received.lock().unwrap()[0].headers["x-remaining-ms"]
        .parse()
        .unwrap();
    assert!(
        remaining_ms <= 2150,
        "the endpoint gets {remaining_ms} ms of 3000 after 1000 ms, expected at most 2150"
    );
}

/// Sends requests of 300 customers on ten connections; every third is a POST with a body of up to 15 kB. Returns the
/// statuses other than 200; `None` for a missing response. Stops after [`MAX_FAILURES`].
fn unsuccessful_statuses(gateway: &Gateway) -> Vec<Option<u16>> {
    let mut clients: Vec<_> = (0..10).map(|_| gateway.connect()).collect();
    let mut failures = Vec::new();
    for customer in 0..300 {
        let client = &mut clients[customer % 10];
        let request = if customer % 3 == 0 {
            // Each request has its own transaction id and customer instead of the fixed ones of `post_request`.
            post_request("once", "", &"x".repeat(customer * 50))
                .replace("9b1f03aa", &format!("{customer:08x}"))
                .replace(
                    "account=0000000000000007",
                    &format!("account={customer:016x}"),
                )
        } else {
            get_request(customer as u64, 1, 3000)
        };
        client.get_mut().write_all(request.as_bytes()).unwrap();
        let status = read_message(client).map(|answer| answer.status());
        if status != Some(200) {
            failures.push(status);
            *client = gateway.connect();
        }
        if failures.len() >= MAX_FAILURES {
            break;
        }
    }
    failures
}

/// Signals interrupt system calls on sockets. If an interruption were treated as an error, a connection would close and
/// its request would be lost. The calls must be repeated, and all requests must succeed.
#[test]
fn interrupted_transfers_lose_no_request() {
    let (endpoint, _) = healthy_endpoint();
    let config = config_with_silent_discovery(&[endpoint]);
    let gateway = Gateway::with_faults(&config, "recv_eintr=50,send_eintr=50,epoll_eintr=50");
    assert_eq!(unsuccessful_statuses(&gateway), []);
}

/// Calls on sockets fail because the system is temporarily short of memory or buffers. If such a failure were treated
/// as a broken connection, its request would fail. The calls must be repeated, and all requests must succeed.
#[test]
fn a_temporary_shortage_of_memory_loses_no_request() {
    let (endpoint, _) = healthy_endpoint();
    let config = config_with_silent_discovery(&[endpoint]);
    let gateway = Gateway::with_faults(&config, "recv_nomem=50,send_nobufs=50");
    assert_eq!(unsuccessful_statuses(&gateway), []);
}

/// A read or write transfers fewer bytes than the socket could. The runtime then treats the socket as empty or full and
/// waits for a readiness event that never occurs. All requests must succeed without such an event.
#[test]
fn partial_transfers_lose_no_request() {
    let (endpoint, _) = healthy_endpoint();
    let config = config_with_silent_discovery(&[endpoint]);
    let gateway = Gateway::with_faults(&config, "recv_short=300,send_short=300");
    assert_eq!(unsuccessful_statuses(&gateway), []);
}

/// Reading the pipe that reports a SIGHUP is interrupted by the next signal. The asynchronous runtime's own signal
/// handling would panic in this case and end the process, so the program does not use it. Each SIGHUP must reload the
/// configuration.
#[test]
fn interrupted_reads_of_signals_do_not_end_the_program() {
    let (endpoint, _) = healthy_endpoint();
    let config = config_with_silent_discovery(&[endpoint]);
    let mut gateway = Gateway::with_faults(&config, "unix_eintr=400");
    for customer in 0..10 {
        let logged = gateway.reload(&config.to_string());
        assert!(!logged.contains("reload failed"), "{logged}");
        assert_eq!(gateway.get(customer, 1).status(), 200);
    }
    gateway.signal("-TERM");
    let exit = gateway.child.wait().unwrap();
    assert!(
        exit.success(),
        "the gateway ended with {exit} after SIGTERM"
    );
}

/// Opening the configuration file fails temporarily at SIGHUP. A process that keeps the old configuration could call
/// addresses that are no longer served. The process must read the file again shortly after.
#[test]
fn a_configuration_that_is_temporarily_unreadable_is_read_again() {
    let (endpoint, _) = healthy_endpoint();
    let config = config_with_silent_discovery(&[endpoint]);
    let gateway = Gateway::with_faults(&config, "open_fail=600");
    for customer in 0..10 {
        let logged = gateway.reload(&config.to_string());
        assert!(logged.contains("configuration reloaded"), "{logged}");
        assert_eq!(gateway.get(customer, 1).status(), 200);
    }
}

/// Number of concurrent requests in the test of an endpoint that has just started.
const CONCURRENT_REQUESTS: u64 = 40;

/// Starts an endpoint that takes 300 ms for each request. Returns its address and the number of requests received so
/// far.
fn slow_endpoint() -> (SocketAddr, Arc<AtomicUsize>) {
    let count = Arc::new(AtomicUsize::new(0));
    let seen = count.clone();
    let addr = start_server(move |_| {
        seen.fetch_add(1, Ordering::SeqCst);
        sleep(Duration::from_millis(300));
        Reply::Send(response(200, "", "done"))
    });
    (addr, count)
}

/// The gateway's wall clock is wrong by an hour, and a new endpoint is listed. By that clock, the endpoint seems to
/// have started long ago or not yet. With a full share of requests, a new endpoint would be overloaded. The endpoint
/// must be warmed up regardless of the clock.
#[test]
fn an_endpoint_that_has_just_started_is_warmed_up_regardless_of_the_wall_clock() {
    // `seed=1` alone injects no fault.
    for faults in ["seed=1", "wall_clock_s=3600", "wall_clock_s=-3600"] {
        let (warm, _) = slow_endpoint();
        let (cold, cold_requests) = slow_endpoint();
        let discovery = Discovery::new();
        let config = config(&[warm], start_counter(Arc::default()), discovery.addr);
        let gateway = Gateway::with_faults(&config, faults);
        let (_, mut watch) = discovery.next_call();
        // An empty line, as discovery writes at intervals while the list does not change.
        push_update(&mut watch, "");
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let mut started_entry = list_entry(1, cold, "Ready");
        started_entry["started_ms"] = (now.as_millis() as u64).into();
        let change = serde_json::json!({"version": 8, "full": false, "servers": [invalid_entry(), started_entry]});
        push_update(&mut watch, &change.to_string());
        gateway.wait_until_list_is_applied();
        let mut clients: Vec<_> = (0..CONCURRENT_REQUESTS)
            .map(|_| gateway.connect())
            .collect();
        for (customer, client) in (0..).zip(&mut clients) {
            client
                .get_mut()
                .write_all(get_request(customer, 1, 3000).as_bytes())
                .unwrap();
        }
        for client in &mut clients {
            read_message(client).expect("the gateway responds");
        }
        let sent = cold_requests.load(Ordering::SeqCst);
        assert!(
            sent <= 5,
            "{faults}: a new endpoint got {sent} of {CONCURRENT_REQUESTS} requests, expected at most 5"
        );
    }
}
