//! The list of backends.

use crate::stand_ins::*;
use std::io::Write;
use std::sync::mpsc::channel;
use std::sync::Arc;
use std::time::{Duration, Instant};

#[test]
fn a_drain_is_kept_and_broken_lists_change_nothing() {
    let ((one, got_one), (two, _)) = (healthy_endpoint(), healthy_endpoint());
    let discovery = Discovery::new();
    let gateway = Gateway::new(&config(&[one, two], start_counter(Arc::default()), discovery.addr));
    let (line, mut watch) = discovery.next_watch();
    assert!(line.contains("index=7"), "{line}");
    let change =
        serde_json::json!({"version": 8, "full": false, "servers": [list_entry(0, one, "Terminating")]});
    push_update(&mut watch, &change.to_string());
    push_update(&mut watch, "{\"version\": 9, \"full\": tr");
    // What can't be read leaves a gap: the whole list is asked for.
    let (line, _) = discovery.next_watch();
    assert!(!line.contains("stream"), "{line}");
    let before = got_one.lock().unwrap().len();
    for customer in 0..10 {
        assert_eq!(gateway.get(customer, 1).status(), 200);
    }
    assert_eq!(got_one.lock().unwrap().len(), before);
}

#[test]
fn a_watch_that_ends_is_opened_again_with_the_last_version() {
    let (one, _) = healthy_endpoint();
    let discovery = Discovery::new();
    let _gateway = Gateway::new(&config(&[one], start_counter(Arc::default()), discovery.addr));
    let (_, mut watch) = discovery.next_watch();
    push_update(&mut watch, "");
    push_update(&mut watch, &serde_json::json!({"version": 12, "full": false, "servers": []}).to_string());
    drop(watch);
    assert!(discovery.next_watch().0.contains("index=12"));
}

/// An entry that can't be read must not take the drain beside it along.
#[test]
fn a_bad_entry_spoils_only_itself() {
    let ((one, got_one), (two, _)) = (healthy_endpoint(), healthy_endpoint());
    let discovery = Discovery::new();
    let gateway = Gateway::new(&config(&[one, two], start_counter(Arc::default()), discovery.addr));
    let (_, mut watch) = discovery.next_watch();
    let bad = serde_json::json!({"id": 7, "addr": "nowhere", "state": "Odd"});
    let change =
        serde_json::json!({"version": 8, "full": false, "servers": [bad, list_entry(0, one, "Terminating")]});
    push_update(&mut watch, &change.to_string());
    // The line is in once its warning is.
    gateway.wait_for_log("an entry of the list");
    let start = Instant::now();
    let mut before = usize::MAX;
    while got_one.lock().unwrap().len() != before {
        assert!(start.elapsed() < TEST_TIMEOUT, "the drain is never kept");
        before = got_one.lock().unwrap().len();
        (0..10).for_each(|customer| assert_eq!(gateway.get(customer, 1).status(), 200));
    }
}

/// A list may stand on several lines, and come byte by byte with empty lines between.
#[test]
fn a_list_over_several_lines_is_kept() {
    let ((one, got_one), (two, _)) = (healthy_endpoint(), healthy_endpoint());
    let discovery = Discovery::new();
    let gateway = Gateway::new(&config(&[one, two], start_counter(Arc::default()), discovery.addr));
    let (_, mut watch) = discovery.next_watch();
    let bad = serde_json::json!({"id": 7});
    let change =
        serde_json::json!({"version": 8, "full": false, "servers": [bad, list_entry(0, one, "Terminating")]});
    let text = format!("\n{}\n\n", serde_json::to_string_pretty(&change).unwrap());
    for byte in text.bytes() {
        watch.write_all(&[b'1', b'\r', b'\n', byte, b'\r', b'\n']).unwrap();
    }
    // The list is in once the warning of its other entry is; with no other watch between.
    gateway.wait_for_log("an entry of the list");
    assert!(discovery.watches.try_recv().is_err(), "the first watch holds");
    (0..10).for_each(|customer| assert_eq!(gateway.get(customer, 1).status(), 200));
    assert_eq!(got_one.lock().unwrap().len(), 0);
}

/// What a silent watch misses counts as told 6 s later, and an unfinished object is no sign of life.
#[test]
fn a_watch_that_falls_silent_is_opened_anew_in_time() {
    let (one, _) = healthy_endpoint();
    for last in ["", "{\"version\": 8, \"full\": false, "] {
        let discovery = Discovery::new();
        let _gateway = Gateway::new(&config(&[one], start_counter(Arc::default()), discovery.addr));
        let (_, mut watch) = discovery.next_watch();
        let start = Instant::now();
        push_update(&mut watch, last);
        let (line, _) = discovery.next_watch();
        assert!(line.contains("index=7"), "{line}");
        assert!(start.elapsed() < Duration::from_secs(4), "{:?}", start.elapsed());
    }
}

/// An agent never answers a call that it got while discovery was down. What it gets at the return counts at
/// once, and sends may go on for a second here: by then another call has to be answered.
#[test]
fn an_agent_that_stays_silent_is_called_again_in_time() {
    let (one, _) = healthy_endpoint();
    let (asked, calls) = channel();
    let agent = start_server(move |m| {
        let _ = asked.send(m.line.clone());
        Reply::StaySilent(channel().0)
    });
    let _gateway = Gateway::new(&config(&[one], start_counter(Arc::default()), agent));
    calls.recv_timeout(TEST_TIMEOUT).expect("a call");
    let start = Instant::now();
    for _ in 0..3 {
        calls.recv_timeout(TEST_TIMEOUT).expect("another call");
    }
    assert!(start.elapsed() < Duration::from_secs(3), "{:?}", start.elapsed());
}

/// A list of so many entries, one of which is there.
fn long_list(entries: usize, there: std::net::SocketAddr) -> serde_json::Value {
    let elsewhere = |number| list_entry(number, nobody_at(number), "Terminating");
    let servers = (1..entries).map(elsewhere).chain([list_entry(0, there, "Ready")]);
    serde_json::json!({"version": 9, "full": true, "servers": servers.collect::<Vec<_>>()})
}

fn nobody_at(number: usize) -> std::net::SocketAddr {
    std::net::SocketAddr::from(([127, 1, (number >> 8) as u8, number as u8], 9))
}

/// The program was told of nothing when it started: all it knows is the list that is pushed, in one chunk.
#[test]
fn a_long_list_is_taken_at_the_first_call_however_it_is_laid_out() {
    let (one, _) = healthy_endpoint();
    for pretty in [false, true] {
        let discovery = Discovery::new();
        let gateway = Gateway::spawn(&config(&[], start_counter(Arc::default()), discovery.addr));
        let (line, mut watch) = discovery.next_watch();
        assert!(line.contains("index=7"), "{line}");
        let list = long_list(20_000, one);
        let text = if pretty { serde_json::to_string_pretty(&list) } else { serde_json::to_string(&list) };
        push_update(&mut watch, &text.unwrap());
        gateway.wait_until_ready();
        assert_eq!(gateway.get(1, 1).status(), 200);
        assert!(discovery.watches.try_recv().is_err(), "one call");
    }
}

/// A list past the bound is told in the log, the old one stands, and the agent is not called in a loop.
#[test]
fn a_list_past_the_bound_leaves_the_gateway_serving() {
    let (one, _) = healthy_endpoint();
    let discovery = Discovery::new();
    let gateway = Gateway::new(&config(&[one], start_counter(Arc::default()), discovery.addr));
    let (_, mut watch) = discovery.next_watch();
    let text = long_list(20_481, one).to_string();
    push_update(&mut watch, &text);
    gateway.wait_for_log("over 20480 entries");
    let start = Instant::now();
    let answer = response(200, "", &text);
    let mut calls = 0;
    while start.elapsed() < Duration::from_secs(4) {
        if let Ok((line, mut list)) = discovery.watches.recv_timeout(Duration::from_millis(100)) {
            assert!(!line.contains("stream"), "the whole list is asked for: {line}");
            let _ = list.write_all(answer.as_bytes());
            calls += 1;
        }
        assert_eq!(gateway.get(1_000 + start.elapsed().as_millis() as u64, 1).status(), 200);
    }
    assert!((1..=9).contains(&calls), "{calls} calls");
}

/// Clients that rest fill the descriptors, with and without a request behind them, while discovery refuses. Its
/// return finds the watch opened anew and the list taken; requests are served, or told that there is no place.
#[test]
fn clients_that_fill_the_descriptors_do_not_keep_the_watch_out() {
    for mode in ["push", "ask"] {
        let ((one, got_one), (two, _)) = (healthy_endpoint(), healthy_endpoint());
        let addr = unused_address();
        let mut config = config(&[one], start_counter(Arc::default()), addr);
        config["limits"]["sockets"] = 64.into();
        config["settings"]["membership-mode"] = mode.into();
        config["settings"]["tiers-of-service"][0]["store-size"] = 1000.0.into();
        let gateway = Gateway::new(&config);
        let mut rest: Vec<_> = (0..100).map(|_| gateway.connect()).collect();
        let served = |rest: &mut Vec<_>, customer| {
            let start = Instant::now();
            loop {
                let mut open = gateway.connect();
                open.get_mut().write_all(get_request(customer, 1, 3000).as_bytes()).unwrap();
                let status = read_message(&mut open).expect("an answer").status();
                rest.push(open);
                if status == 200 {
                    return;
                }
                assert!(status == 503 && start.elapsed() < TEST_TIMEOUT, "{status}");
                std::thread::sleep(Duration::from_millis(5));
            }
        };
        (0..50).for_each(|customer| served(&mut rest, customer));
        let discovery = Discovery::at(addr);
        let (line, mut watch) =
            discovery.watches.recv_timeout(Duration::from_secs(6)).expect("a watch in time");
        assert!(line.contains("index=7"), "{line}");
        let servers =
            serde_json::json!([{"id": 7}, list_entry(0, one, "Terminating"), list_entry(1, two, "Ready")]);
        push_update(
            &mut watch,
            &serde_json::json!({"version": 8, "full": false, "servers": servers}).to_string(),
        );
        gateway.wait_for_log("an entry of the list");
        let before = got_one.lock().unwrap().len();
        (50..100).for_each(|customer| served(&mut rest, customer));
        assert_eq!(got_one.lock().unwrap().len(), before, "sent to a draining backend");
        let open = std::fs::read_dir(format!("/proc/{}/fd", gateway.child.id())).unwrap().count();
        assert!((40..=64).contains(&open), "{open} descriptors");
    }
}

/// A process that starts again while discovery is down, with the list that it had: hung calls hold nothing up.
#[test]
fn a_restart_with_a_long_list_is_ready_while_discovery_is_down() {
    let (one, _) = healthy_endpoint();
    for discovery in [unused_address(), start_server(|_| Reply::StaySilent(channel().0))] {
        let mut config = config(&[one], start_counter(Arc::default()), discovery);
        config["known"] = long_list(8_200, one);
        let gateway = Gateway::spawn(&config);
        let start = Instant::now();
        gateway.wait_until_ready();
        assert!(start.elapsed() < Duration::from_secs(10), "{:?}", start.elapsed());
        assert_eq!(gateway.get(1, 1).status(), 200);
    }
}
