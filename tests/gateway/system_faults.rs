//! System calls that fail for a moment, in the ways that Linux documents.

use crate::stand_ins::*;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// At the end of the listener, accepting fails: a connection was aborted, or descriptors are short. A listener that
/// is closed then resets the clients in its queue with their requests. They must be accepted and served.
#[test]
fn a_failure_to_accept_at_the_end_of_the_listener_loses_no_client() {
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
        // Suspended beyond the end of the accept period, the program finds waiting clients when that has passed.
        gateway.signal("-STOP");
        let mut opens: Vec<_> = (0..40).map(|_| gateway.connect()).collect();
        for (customer, open) in opens.iter_mut().enumerate() {
            open.get_mut()
                .write_all(get_request(customer as u64, 1, 3000).as_bytes())
                .unwrap();
        }
        sleep(Duration::from_millis(800));
        gateway.signal("-CONT");
        let statuses: Vec<_> = opens
            .iter_mut()
            .map(|open| read_message(open).map(|answer| answer.status()))
            .collect();
        assert_eq!(statuses, [Some(200); 40], "{faults}");
        assert!(gateway.child.wait().unwrap().success());
    }
}

/// Failures after which no more requests are made.
const MAX_FAILURES: usize = 5;

/// The listener can't accept for a second, and a client's request waits in its queue. Counted from the moment of
/// accepting, its remaining time would be too long, and the endpoint would work for a client that has left. The wait
/// must be taken off the propagated deadline.
#[test]
fn the_wait_for_a_failing_listener_is_taken_off_the_propagated_deadline() {
    let (endpoint, received) = healthy_endpoint();
    let switch = std::env::temp_dir().join(format!("quota-gateway-{}-accept", std::process::id()));
    let mut environment = fault_environment("accept_switch=1");
    environment.push(("GATEWAY_FAULT_SWITCH", switch.to_str().unwrap().to_owned()));
    let mut config = config_with_silent_discovery(&[endpoint]);
    // An attempt may take as long as its client waits.
    config["settings"]["categories"][0]["aim-ms"] = 4000.into();
    let gateway = Gateway::with_environment(&config, &environment);
    std::fs::write(&switch, "").unwrap();
    // The first error begins the wait: it is that of a client which comes before.
    let _early = gateway.connect();
    let mut client = gateway.connect();
    client
        .get_mut()
        .write_all(get_request(1, 1, 3000).as_bytes())
        .unwrap();
    sleep(Duration::from_secs(1));
    std::fs::remove_file(&switch).unwrap();
    assert_eq!(read_message(&mut client).expect("an answer").status(), 200);
    let remaining_ms: u64 = received.lock().unwrap()[0].headers["x-remaining-ms"]
        .parse()
        .unwrap();
    assert!(
        remaining_ms <= 2150,
        "{remaining_ms} ms of 3000 are left after 1000"
    );
}

/// Makes requests of 300 customers on ten connections; returns the statuses of the answers that are not 200.
fn unsuccessful_statuses(gateway: &Gateway) -> Vec<Option<u16>> {
    let mut clients: Vec<_> = (0..10).map(|_| gateway.connect()).collect();
    let mut failures = Vec::new();
    for customer in 0..300 {
        let client = &mut clients[customer % 10];
        let request = if customer % 3 == 0 {
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

/// Signals interrupt system calls on sockets. Taken for an error, an interruption would end a connection with its
/// request. The calls must be repeated, and all requests succeed.
#[test]
fn interrupted_transfers_lose_nothing() {
    let (endpoint, _) = healthy_endpoint();
    let config = config_with_silent_discovery(&[endpoint]);
    let gateway = Gateway::with_faults(&config, "recv_eintr=50,send_eintr=50,epoll_eintr=50");
    assert_eq!(unsuccessful_statuses(&gateway), []);
}

/// The system lacks memory or buffers for a moment, and calls on sockets fail. Taken for a broken connection, that
/// would fail its request. The calls must be repeated, and all requests succeed.
#[test]
fn transfers_that_lack_memory_for_a_moment_lose_nothing() {
    let (endpoint, _) = healthy_endpoint();
    let config = config_with_silent_discovery(&[endpoint]);
    let gateway = Gateway::with_faults(&config, "recv_nomem=50,send_nobufs=50");
    assert_eq!(unsuccessful_statuses(&gateway), []);
}

/// A read or write transfers less than the socket could. The runtime takes that for an empty or a full socket and
/// waits for a notice that never comes. All requests must succeed without one.
#[test]
fn transfers_that_are_cut_short_lose_nothing() {
    let (endpoint, _) = healthy_endpoint();
    let config = config_with_silent_discovery(&[endpoint]);
    let gateway = Gateway::with_faults(&config, "recv_short=300,send_short=300");
    assert_eq!(unsuccessful_statuses(&gateway), []);
}

/// Reading the pipe that signals a SIGHUP is interrupted by the next signal. The runtime's own signal handling panics
/// at that, and the process ends. Each signal must be carried out.
#[test]
fn interrupted_reads_of_signals_do_not_end_the_program() {
    let (endpoint, _) = healthy_endpoint();
    let config = config_with_silent_discovery(&[endpoint]);
    let mut gateway = Gateway::with_faults(&config, "unix_eintr=400");
    for customer in 0..10 {
        assert!(!gateway.reload(&config.to_string()).contains("stands"));
        assert_eq!(gateway.get(customer, 1).status(), 200);
    }
    gateway.signal("-TERM");
    assert!(gateway.child.wait().unwrap().success());
}

/// Opening the configuration fails for a moment at SIGHUP. A process that keeps the old configuration would soon call
/// addresses that nobody serves. It must read the file again a little later.
#[test]
fn a_configuration_that_cannot_be_read_for_a_moment_is_read_later() {
    let (endpoint, _) = healthy_endpoint();
    let config = config_with_silent_discovery(&[endpoint]);
    let gateway = Gateway::with_faults(&config, "open_fail=600");
    for customer in 0..10 {
        let logged = gateway.reload(&config.to_string());
        assert!(logged.contains("configuration reloaded"), "{logged}");
        assert_eq!(gateway.get(customer, 1).status(), 200);
    }
}

/// Requests in flight at once in the test of an endpoint that has just started.
const CONCURRENT_REQUESTS: u64 = 40;

/// An endpoint that serves each request for a while, and the number of those that it got.
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

/// The gateway's wall clock is wrong by an hour, and a new endpoint is listed. By that clock it seems to have run for
/// long, or not to have started yet; sent a full share of requests, it would be overloaded. It must be warmed up all
/// the same.
#[test]
fn an_endpoint_that_has_just_started_is_warmed_up_whatever_the_wall_clock_says() {
    for faults in ["seed=1", "wall_clock_s=3600", "wall_clock_s=-3600"] {
        let (warm, _) = slow_endpoint();
        let (cold, got_cold) = slow_endpoint();
        let discovery = Discovery::new();
        let config = config(&[warm], start_counter(Arc::default()), discovery.addr);
        let gateway = Gateway::with_faults(&config, faults);
        let (_, mut watch) = discovery.next_call();
        push_update(&mut watch, "");
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let mut started = list_entry(1, cold, "Ready");
        started["started_ms"] = (now.as_millis() as u64).into();
        let change =
            serde_json::json!({"version": 8, "full": false, "servers": [invalid_entry(), started]});
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
            read_message(client).expect("an answer");
        }
        let sent = got_cold.load(Ordering::SeqCst);
        assert!(
            sent <= 5,
            "{faults}: {sent} of {CONCURRENT_REQUESTS} requests sent to an endpoint that has just started"
        );
    }
}
