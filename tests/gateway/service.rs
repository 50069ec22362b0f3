//! Start, reload and end of the program.

use crate::stand_ins::*;
use std::io::Write;
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[test]
fn a_bad_configuration_is_told_in_one_line_that_names_the_field() {
    let mut config = config_with_silent_discovery(&[unused_address()]);
    config["settings"]["rules"]["cold-from"] = "warm".into();
    complains(&config, "settings.rules.cold-from");
    let mut config = config_with_silent_discovery(&[unused_address()]);
    config["settings"]["categories"][1].as_object_mut().unwrap().remove("window-ms");
    complains(&config, "settings.categories[1].window-ms");
    for (list, number, field, value) in [
        ("categories", 0, "give-up-ms", -1.0),
        ("categories", 2, "aim-ms", 1e300),
        ("tiers-of-service", 0, "store-size", 0.0),
    ] {
        let mut config = config_with_silent_discovery(&[unused_address()]);
        config["settings"][list][number][field] = value.into();
        complains(&config, &format!("settings.{list}[{number}].{field}"));
    }
}

fn complains(config: &serde_json::Value, field: &str) {
    let output = spawn_program(config).0.wait_with_output().unwrap();
    let told = String::from_utf8(output.stderr).unwrap();
    assert!(!output.status.success());
    assert!(told.contains(field) && told.trim_end().lines().count() == 1, "{told}");
}

/// A group and a window belong to keyed classes; the settings of others need not name them.
#[test]
fn settings_that_may_be_absent_may_be_absent() {
    let (backend, _) = healthy_endpoint();
    let mut config = config_with_silent_discovery(&[backend]);
    for class in [0, 2] {
        let class = config["settings"]["categories"][class].as_object_mut().unwrap();
        class.retain(|field, _| !["group", "window-ms", "stream"].contains(&field.as_str()));
    }
    let gateway = Gateway::new(&config);
    assert_eq!(gateway.get(1, 1).status(), 200);
    assert_eq!(gateway.exchange(&post_request("once", "", "x")).status(), 200);
}

#[test]
fn sigterm_answers_what_was_taken_and_ends_well() {
    let (begun_to, begun) = channel();
    let addr = start_server(move |_| {
        let _ = begun_to.send(());
        std::thread::sleep(Duration::from_millis(900));
        Reply::Send(response(200, "", "done"))
    });
    let mut gateway = Gateway::new(&config_with_silent_discovery(&[addr]));
    let mut open = gateway.connect();
    open.get_mut().write_all(get_request(1, 1, 3000).as_bytes()).unwrap();
    begun.recv_timeout(TEST_TIMEOUT).unwrap();
    let start = Instant::now();
    gateway.signal("-TERM");
    // It is unready at once but goes on taking what comes.
    let unready = loop {
        let answer = gateway.exchange("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        if answer.status() != 200 {
            break answer;
        }
    };
    assert_eq!((unready.status(), unready.headers["connection"].as_str()), (503, "close"));
    assert_eq!(read_message(&mut open).unwrap().body, b"done");
    assert!(gateway.child.wait().unwrap().success());
    assert!(start.elapsed() < Duration::from_secs(3));
    assert!(gateway.log.iter().all(|line| !line.contains("panic")));
}

/// SIGHUP without a handler ends a program. Both parties move at once, as often as it comes, though the new
/// discovery's versions are lower; the counter's old connection stays silent.
#[test]
fn sighup_moves_discovery_and_counter() {
    let ((old, _), (new, _)) = (healthy_endpoint(), healthy_endpoint());
    let (first, second) = (Discovery::new(), Discovery::new());
    let silent = start_server(|_| Reply::StaySilent(channel().0));
    let mut config = config(&[old], silent, first.addr);
    let gateway = Gateway::new(&config);
    let (_, _watch) = first.next_watch();
    let mut customer = 1;
    assert_eq!(gateway.get(customer, 1).status(), 200);
    let amounts = Arc::new(Mutex::new(Vec::new()));
    config["counter"] = start_counter(amounts.clone()).to_string().into();
    for (round, discovery) in [&second, &first, &second].into_iter().enumerate() {
        config["discovery"] = discovery.addr.to_string().into();
        assert!(!gateway.reload(&config.to_string()).contains("stands"));
        let (line, mut list) = discovery.next_watch();
        assert!(!line.contains("stream"), "the whole list is asked for: {line}");
        let addr = if round % 2 == 0 { new } else { old };
        let text =
            serde_json::json!({"version": 1, "full": true, "servers": [list_entry(round, addr, "Ready")]});
        list.write_all(response(200, "", &text.to_string()).as_bytes()).unwrap();
        let (line, _watch) = discovery.watch_after_list(list);
        assert!(line.contains("index=1"), "{line}");
        let before = amounts.lock().unwrap().len();
        let start = Instant::now();
        while amounts.lock().unwrap().len() == before {
            customer += 1;
            assert!(start.elapsed() < TEST_TIMEOUT, "the new counter is never called");
            assert_eq!(gateway.get(customer, 1).status(), 200);
        }
    }
}

#[test]
fn sighup_with_a_faulty_file_changes_nothing() {
    let (backend, _) = healthy_endpoint();
    let fine = config_with_silent_discovery(&[backend]);
    let gateway = Gateway::new(&fine);
    let mut odd = fine.clone();
    odd["settings"]["position"] = 9.into();
    let mut customer = 0;
    for text in ["{\"name\": \"n0\", ".to_owned(), String::new(), odd.to_string()] {
        let told = gateway.reload(&text);
        assert!(told.contains("the old configuration stands"), "{told}");
        customer += 1;
        assert_eq!(gateway.get(customer, 1).status(), 200);
    }
}

/// With deadlines beyond the time that a planned end leaves, a request is served for as long as it may be, and one
/// that can't be is failed in time, not cut off.
#[test]
fn sigterm_waits_as_long_as_the_deadlines_allow() {
    for hangs in [false, true] {
        let (begun_to, begun) = channel();
        let addr = start_server(move |_| {
            let _ = begun_to.send(());
            if hangs {
                return Reply::StaySilent(channel().0);
            }
            std::thread::sleep(Duration::from_millis(2700));
            Reply::Send(response(200, "", "done"))
        });
        let mut config = config_with_silent_discovery(&[addr]);
        for class in config["settings"]["categories"].as_array_mut().unwrap() {
            (class["aim-ms"], class["give-up-ms"]) = (7000.into(), 7500.into());
        }
        let mut gateway = Gateway::new(&config);
        let mut open = gateway.connect();
        open.get_mut().write_all(get_request(1, 1, 7000).as_bytes()).unwrap();
        begun.recv_timeout(TEST_TIMEOUT).unwrap();
        let start = Instant::now();
        gateway.signal("-TERM");
        assert_eq!(read_message(&mut open).expect("an answer").status(), if hangs { 502 } else { 200 });
        assert!(gateway.child.wait().unwrap().success());
        // Killed after 3.7 s.
        assert!(start.elapsed() < Duration::from_millis(3650), "{:?}", start.elapsed());
    }
}

/// Connections that came up before accepting ended are served, though the program had not seen them yet.
#[test]
fn sigterm_serves_whoever_has_connected() {
    let (backend, _) = healthy_endpoint();
    let mut gateway = Gateway::new(&config_with_silent_discovery(&[backend]));
    let mut busy = gateway.connect();
    busy.get_mut().write_all(b"GET /look").unwrap();
    gateway.signal("-TERM");
    // Stopped over the end of accepting, the program finds both at once: its time is up and clients wait.
    let mut unready = gateway.exchange("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    while unready.status() == 200 {
        unready = gateway.exchange("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    }
    gateway.signal("-STOP");
    let mut opens: Vec<_> = (0..20).map(|_| gateway.connect()).collect();
    for (customer, open) in opens.iter_mut().enumerate() {
        open.get_mut().write_all(get_request(customer as u64, 1, 3000).as_bytes()).unwrap();
    }
    std::thread::sleep(Duration::from_millis(800));
    gateway.signal("-CONT");
    let statuses: Vec<_> =
        opens.iter_mut().map(|open| read_message(open).map(|answer| answer.status())).collect();
    assert_eq!(statuses, [Some(200); 20]);
    drop(busy);
    assert!(gateway.child.wait().unwrap().success());
}

/// Signals that come together, and a reload that comes while the program ends, neither hold the end up nor spoil it.
#[test]
fn sigterm_and_sighup_together_end_well() {
    for order in [["-HUP", "-TERM"], ["-TERM", "-HUP"]] {
        let (backend, _) = healthy_endpoint();
        let mut gateway = Gateway::new(&config_with_silent_discovery(&[backend]));
        // Stopped, it finds both at once.
        for name in ["-STOP", order[0], order[1], "-CONT"] {
            gateway.signal(name);
        }
        assert!(gateway.child.wait().unwrap().success());
    }
}
