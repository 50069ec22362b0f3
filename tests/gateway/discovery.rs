//! Discovery: watches, invalid and long endpoint lists, and outages.

use crate::stand_ins::*;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::mpsc::channel;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Starts a gateway whose known list has `endpoints` and that watches `discovery`.
fn gateway_with(endpoints: &[SocketAddr], discovery: &Discovery) -> Gateway {
    Gateway::new(&config(
        endpoints,
        start_counter(Arc::default()),
        discovery.addr,
    ))
}

/// An update of the endpoint list with these entries, which is not a complete list.
fn update(version: u64, servers: &serde_json::Value) -> serde_json::Value {
    serde_json::json!({"version": version, "full": false, "servers": servers})
}

/// A watch reports a draining endpoint, and then an event that cannot be parsed. If requests still went to the draining
/// endpoint, they would be cut off; if the invalid event were ignored, its change would be lost. The endpoint must get
/// no more requests, and the gateway must fetch the complete list.
#[test]
fn a_draining_endpoint_gets_no_requests_and_an_invalid_event_leads_to_the_complete_list() {
    let (draining, received_by_draining) = healthy_endpoint();
    let (ready, _) = healthy_endpoint();
    let discovery = Discovery::new();
    let gateway = gateway_with(&[draining, ready], &discovery);
    let (line, mut watch) = discovery.next_call();
    assert!(line.contains("index=7"), "expected index=7 in {line}");
    let servers = serde_json::json!([list_entry(0, draining, "Terminating")]);
    let change = update(8, &servers);
    push_update(&mut watch, &change.to_string());
    push_update(&mut watch, "{\"version\": 9, \"full\": tr");
    // An event that cannot be parsed is a missed change, so the gateway requests the complete list.
    let (line, _) = discovery.next_call();
    assert!(
        !line.contains("stream"),
        "expected a call for the complete list: {line}"
    );
    let before = received_by_draining.lock().unwrap().len();
    for customer in 0..10 {
        assert_eq!(gateway.get(customer, 1).status(), 200);
    }
    assert_eq!(received_by_draining.lock().unwrap().len(), before);
}

/// A watch ends, as when discovery restarts. A watch reopened from an older version would repeat changes, and one from
/// a later version would miss some. The watch must be reopened from the version of the last event.
#[test]
fn a_watch_that_ends_is_reopened_from_the_last_version() {
    let (endpoint, _) = healthy_endpoint();
    let discovery = Discovery::new();
    let _gateway = gateway_with(&[endpoint], &discovery);
    let (_, mut watch) = discovery.next_call();
    // An empty line, as discovery writes at intervals while the list does not change.
    push_update(&mut watch, "");
    push_update(&mut watch, &update(12, &serde_json::json!([])).to_string());
    drop(watch);
    assert!(discovery.next_call().0.contains("index=12"));
}

/// A list has an invalid entry, for instance of a newer format, and an endpoint that is draining. If the whole list
/// were rejected, the draining endpoint would go on getting requests. The invalid entry must be skipped with a warning,
/// and the other entries must apply.
#[test]
fn an_invalid_entry_is_skipped_and_the_others_apply() {
    let (draining, received_by_draining) = healthy_endpoint();
    let (ready, _) = healthy_endpoint();
    let discovery = Discovery::new();
    let gateway = gateway_with(&[draining, ready], &discovery);
    let (_, mut watch) = discovery.next_call();
    let invalid = serde_json::json!({"id": 7, "addr": "nowhere", "state": "Odd"});
    let servers = serde_json::json!([invalid, list_entry(0, draining, "Terminating")]);
    let change = update(8, &servers);
    push_update(&mut watch, &change.to_string());
    gateway.wait_for_log("an entry of the list");
    let start = Instant::now();
    let mut before = usize::MAX;
    while received_by_draining.lock().unwrap().len() != before {
        assert!(
            start.elapsed() < TEST_TIMEOUT,
            "the draining endpoint still gets requests"
        );
        before = received_by_draining.lock().unwrap().len();
        (0..10).for_each(|customer| assert_eq!(gateway.get(customer, 1).status(), 200));
    }
}

/// Discovery writes a list on several lines, which arrives byte by byte with empty lines around it. A parser that takes
/// each line for an event would reject the list and miss the change. The list must apply, without another watch.
#[test]
fn a_list_written_on_several_lines_applies() {
    let (draining, received_by_draining) = healthy_endpoint();
    let (ready, _) = healthy_endpoint();
    let discovery = Discovery::new();
    let gateway = gateway_with(&[draining, ready], &discovery);
    let (_, mut watch) = discovery.next_call();
    let servers = serde_json::json!([invalid_entry(), list_entry(0, draining, "Terminating")]);
    let change = update(8, &servers);
    let text = format!("\n{}\n\n", serde_json::to_string_pretty(&change).unwrap());
    for byte in text.bytes() {
        watch
            .write_all(&[b'1', b'\r', b'\n', byte, b'\r', b'\n'])
            .unwrap();
    }
    // The list applies without another call to discovery.
    gateway.wait_until_list_is_applied();
    assert!(
        discovery.calls.try_recv().is_err(),
        "discovery was called again, expected the first watch to stay open"
    );
    (0..10).for_each(|customer| assert_eq!(gateway.get(customer, 1).status(), 200));
    assert_eq!(received_by_draining.lock().unwrap().len(), 0);
}

/// A watch stays open but stops sending, perhaps in the middle of an object, as after the loss of the remote machine.
/// The gateway could wait forever for events, although the protocol counts the gateway as notified after 6 s. The watch
/// must be reopened within 4 s, from the same version.
#[test]
fn a_silent_watch_is_reopened_in_time() {
    let (endpoint, _) = healthy_endpoint();
    for last in ["", "{\"version\": 8, \"full\": false, "] {
        let discovery = Discovery::new();
        let _gateway = gateway_with(&[endpoint], &discovery);
        let (_, mut watch) = discovery.next_call();
        let start = Instant::now();
        push_update(&mut watch, last);
        let (line, _) = discovery.next_call();
        assert!(line.contains("index=7"), "expected index=7 in {line}");
        assert!(
            start.elapsed() < Duration::from_secs(4),
            "the watch was reopened after {:?}, expected less than 4 s",
            start.elapsed()
        );
    }
}

/// A discovery agent never answers a call that arrived while discovery was down. If the gateway waited for that call,
/// it would miss the changes that the agent has once discovery is back. The gateway must call again in time to get an
/// answer within the drain grace period, which is one second here.
#[test]
fn an_unanswered_discovery_call_is_repeated_in_time() {
    let (endpoint, _) = healthy_endpoint();
    let (call_sender, calls) = channel();
    let agent = start_server(move |m| {
        let _ = call_sender.send(m.line.clone());
        Reply::StaySilent(channel().0)
    });
    let _gateway = Gateway::new(&config(&[endpoint], start_counter(Arc::default()), agent));
    calls
        .recv_timeout(TEST_TIMEOUT)
        .expect("the gateway calls discovery");
    let start = Instant::now();
    for _ in 0..3 {
        calls
            .recv_timeout(TEST_TIMEOUT)
            .expect("the gateway calls discovery again");
    }
    assert!(
        start.elapsed() < Duration::from_secs(3),
        "three more calls took {:?}, expected less than 3 s",
        start.elapsed()
    );
}

/// A complete list with `entries` entries, of which only the endpoint at `ready` accepts requests.
fn long_list(entries: usize, ready: SocketAddr) -> serde_json::Value {
    let draining_entry = |number| list_entry(number, unserved_address(number), "Terminating");
    let servers = (1..entries)
        .map(draining_entry)
        .chain([list_entry(0, ready, "Ready")]);
    serde_json::json!({"version": 9, "full": true, "servers": servers.collect::<Vec<_>>()})
}

fn unserved_address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, (number >> 8) as u8, number as u8], 9))
}

/// The configuration has no endpoints, and the watch sends a list of 20,000 entries in one chunk. If the list exceeded
/// a limit or took longer than the timeout for a silent watch, the gateway would call in a loop and never be ready.
/// The list must apply at the first call, both on one line and indented.
#[test]
fn a_long_list_applies_at_the_first_call_on_one_line_or_indented() {
    let (endpoint, _) = healthy_endpoint();
    // The list is built before the watch opens: a delay later would make the watch look silent.
    let list = long_list(20_000, endpoint);
    for pretty in [false, true] {
        let text = if pretty {
            serde_json::to_string_pretty(&list)
        } else {
            serde_json::to_string(&list)
        };
        let text = text.unwrap();
        let discovery = Discovery::new();
        let gateway = Gateway::spawn(&config(&[], start_counter(Arc::default()), discovery.addr));
        let (line, mut watch) = discovery.next_call();
        assert!(line.contains("index=7"), "expected index=7 in {line}");
        push_update(&mut watch, &text);
        gateway.wait_until_ready();
        assert_eq!(gateway.get(1, 1).status(), 200);
        assert!(
            discovery.calls.try_recv().is_err(),
            "discovery was called more than once"
        );
    }
}

/// Discovery sends a list with more entries than the limit at each call. The gateway could run out of memory, or parse
/// long lists in a loop without serving requests. The gateway must log the error, keep the old list, back off between
/// calls, and continue to serve requests.
#[test]
fn a_list_with_too_many_entries_leaves_the_gateway_serving() {
    let (endpoint, _) = healthy_endpoint();
    // The list is built before the watch opens: a delay later would make the watch look silent.
    let text = long_list(20_481, endpoint).to_string();
    let answer = response(200, "", &text);
    let mut discovery = Discovery::new();
    let gateway = gateway_with(&[endpoint], &discovery);
    let (_, mut watch) = discovery.next_call();
    push_update(&mut watch, &text);
    gateway.wait_for_log("over 20480 entries");
    let observed = (0..MAX_OBSERVATIONS)
        .map(|number| observe(&gateway, &mut discovery, &answer, number))
        .find(|observed| observed.longest_delay <= MAX_ANSWER_DELAY)
        .expect("the system runs the stand-ins for four seconds on end");
    assert!(
        observed.statuses.iter().all(|status| *status == 200),
        "statuses of requests meanwhile: {:?}",
        observed.statuses
    );
    assert!(
        (1..=9).contains(&observed.calls),
        "{} calls in 4 s, expected 1 to 9",
        observed.calls
    );
}

/// Longest time for which the system may not run the thread that answers calls. A gateway repeats a call that is not
/// answered, and rejects requests whose endpoint does not answer, so an observation with a longer delay says nothing.
const MAX_ANSWER_DELAY: Duration = Duration::from_millis(200);
/// Maximum number of observations until one has no longer delay.
const MAX_OBSERVATIONS: u64 = 5;

/// What a gateway did while all its calls to discovery were answered.
struct Observation {
    calls: usize,
    /// Statuses of the requests that were sent meanwhile.
    statuses: Vec<u16>,
    /// Longest time for which no call was looked for.
    longest_delay: Duration,
}

/// Answers all calls of four seconds and sends requests meanwhile.
fn observe(gateway: &Gateway, discovery: &mut Discovery, answer: &str, number: u64) -> Observation {
    std::thread::scope(|scope| {
        let answering = scope.spawn(move || answer_calls(discovery, answer));
        // Each customer sends one request, within its quota.
        let mut customers = 1000 * (number + 1)..;
        let mut statuses = Vec::new();
        while !answering.is_finished() {
            statuses.push(gateway.get(customers.next().unwrap(), 1).status());
            std::thread::sleep(Duration::from_millis(100));
        }
        let (calls, longest_delay) = answering.join().unwrap();
        Observation {
            calls,
            statuses,
            longest_delay,
        }
    })
}

/// Answers the calls of four seconds. Returns their number and the longest time for which no call was looked for.
fn answer_calls(discovery: &mut Discovery, answer: &str) -> (usize, Duration) {
    let start = Instant::now();
    let mut calls = 0;
    let mut longest_delay = Duration::ZERO;
    let mut looked_at = start;
    while start.elapsed() < Duration::from_secs(4) {
        if let Ok((line, mut list)) = discovery.calls.recv_timeout(Duration::from_millis(20)) {
            assert!(
                !line.contains("stream"),
                "expected a call for the complete list: {line}"
            );
            let _ = list.write_all(answer.as_bytes());
            calls += 1;
        }
        longest_delay = longest_delay.max(looked_at.elapsed());
        looked_at = Instant::now();
    }
    (calls, longest_delay)
}

/// Idle clients use up the descriptors while discovery refuses connections. When discovery is back, there could be no
/// descriptor for the watch, and draining endpoints would go on getting requests. The watch must be reopened in time
/// and its list must apply, in both membership modes, and the process must stay within its descriptor limit.
#[test]
fn clients_that_use_up_the_descriptors_do_not_prevent_a_watch() {
    for mode in ["push", "ask"] {
        let (draining, received_by_draining) = healthy_endpoint();
        let (ready, _) = healthy_endpoint();
        let addr = unused_address();
        let mut config = config(&[draining], start_counter(Arc::default()), addr);
        config["limits"]["sockets"] = 64.into();
        config["settings"]["membership-mode"] = mode.into();
        config["settings"]["tiers-of-service"][0]["store-size"] = 1000.0.into();
        let gateway = Gateway::new(&config);
        let mut idle: Vec<_> = (0..100).map(|_| gateway.connect()).collect();
        let request_until_served = |idle: &mut Vec<_>, customer| {
            let start = Instant::now();
            loop {
                let mut client = gateway.connect();
                client
                    .get_mut()
                    .write_all(get_request(customer, 1, 3000).as_bytes())
                    .unwrap();
                let answer = read_message(&mut client).expect("the gateway responds");
                let status = answer.status();
                idle.push(client);
                if status == 200 {
                    return;
                }
                assert!(
                    status == 503 && start.elapsed() < TEST_TIMEOUT,
                    "customer {customer} got status {status}, expected 503 or, in time, 200"
                );
                std::thread::sleep(Duration::from_millis(5));
            }
        };
        (0..50).for_each(|customer| request_until_served(&mut idle, customer));
        let discovery = Discovery::at(addr);
        let (line, mut watch) = discovery
            .calls
            .recv_timeout(Duration::from_secs(6))
            .expect("the gateway reopens the watch within 6 s");
        assert!(line.contains("index=7"), "expected index=7 in {line}");
        let servers = serde_json::json!([
            invalid_entry(),
            list_entry(0, draining, "Terminating"),
            list_entry(1, ready, "Ready")
        ]);
        push_update(&mut watch, &update(8, &servers).to_string());
        gateway.wait_until_list_is_applied();
        let before = received_by_draining.lock().unwrap().len();
        (50..100).for_each(|customer| request_until_served(&mut idle, customer));
        assert_eq!(
            received_by_draining.lock().unwrap().len(),
            before,
            "requests were sent to a draining endpoint"
        );
        let open = std::fs::read_dir(format!("/proc/{}/fd", gateway.child.id()))
            .unwrap()
            .count();
        assert!(
            (40..=64).contains(&open),
            "{open} descriptors are open, expected 40 to 64"
        );
    }
}

/// The process restarts while discovery is down, with the last known list in its configuration. If it waited for
/// discovery before becoming ready, an outage of discovery would become an outage of the gateways. The process must
/// become ready and serve, whether discovery refuses connections or never answers.
#[test]
fn a_restart_with_a_known_list_becomes_ready_while_discovery_is_down() {
    let (endpoint, _) = healthy_endpoint();
    for discovery in [
        unused_address(),
        start_server(|_| Reply::StaySilent(channel().0)),
    ] {
        let mut config = config(&[endpoint], start_counter(Arc::default()), discovery);
        config["known"] = long_list(8_200, endpoint);
        let gateway = Gateway::spawn(&config);
        let start = Instant::now();
        gateway.wait_until_ready();
        assert!(
            start.elapsed() < Duration::from_secs(10),
            "the gateway became ready after {:?}, expected less than 10 s",
            start.elapsed()
        );
        assert_eq!(gateway.get(1, 1).status(), 200);
    }
}
