//! Configuration, reload, shutdown, metrics and the log of the program.

use crate::stand_ins::*;
use std::io::Write;
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A configuration has a value of the wrong type, a missing value or an impossible one. A process that starts with it
/// would make wrong decisions, and one that exits without a reason is hard to repair. The process must exit with an
/// error of one line that names the field.
#[test]
fn an_invalid_configuration_is_reported_in_one_line_that_names_the_field() {
    let mut config = config_with_silent_discovery(&[unused_address()]);
    config["settings"]["rules"]["cold-from"] = "warm".into();
    assert_startup_error_names(&config, "settings.rules.cold-from");
    let mut config = config_with_silent_discovery(&[unused_address()]);
    config["settings"]["categories"][1]
        .as_object_mut()
        .unwrap()
        .remove("window-ms");
    assert_startup_error_names(&config, "settings.categories[1].window-ms");
    for (list, number, field, value) in [
        ("categories", 0, "give-up-ms", -1.0),
        ("categories", 2, "aim-ms", 1e300),
        ("tiers-of-service", 0, "store-size", 0.0),
    ] {
        let mut config = config_with_silent_discovery(&[unused_address()]);
        config["settings"][list][number][field] = value.into();
        assert_startup_error_names(&config, &format!("settings.{list}[{number}].{field}"));
    }
}

fn assert_startup_error_names(config: &serde_json::Value, field: &str) {
    let output = spawn_program(config).0.wait_with_output().unwrap();
    let report = String::from_utf8(output.stderr).unwrap();
    assert!(
        !output.status.success(),
        "the program ended with {}, expected an error about {field}: {report}",
        output.status
    );
    assert!(
        report.contains(field) && report.trim_end().lines().count() == 1,
        "expected one line that names {field}: {report}"
    );
}

/// Only classes with an idempotency key need `group` and `window-ms`, and a site may omit them for other classes. A
/// process that requires them would not start. The process must start and serve all classes.
#[test]
fn optional_settings_may_be_absent() {
    let (endpoint, _) = healthy_endpoint();
    let mut config = config_with_silent_discovery(&[endpoint]);
    for class in [0, 2] {
        let class = config["settings"]["categories"][class]
            .as_object_mut()
            .unwrap();
        class.retain(|field, _| !["group", "window-ms", "stream"].contains(&field.as_str()));
    }
    let gateway = Gateway::new(&config);
    assert_eq!(gateway.get(1, 1).status(), 200);
    assert_eq!(
        gateway.exchange(&post_request("once", "", "x")).status(),
        200
    );
}

/// A deployment sends SIGTERM while a request is in flight. If the process exits at once, the client gets no response
/// to a request that is being executed. The process must report that it is not ready, serve the request, and exit with
/// success.
#[test]
fn sigterm_answers_open_requests_and_exits_successfully() {
    let (started_sender, started) = channel();
    let addr = start_server(move |_| {
        let _ = started_sender.send(());
        std::thread::sleep(Duration::from_millis(900));
        Reply::Send(response(200, "", "done"))
    });
    let mut gateway = Gateway::new(&config_with_silent_discovery(&[addr]));
    let mut client = gateway.connect();
    client
        .get_mut()
        .write_all(get_request(1, 1, 3000).as_bytes())
        .unwrap();
    started.recv_timeout(TEST_TIMEOUT).unwrap();
    let start = Instant::now();
    gateway.signal("-TERM");
    // The gateway reports that it is not ready, but still accepts clients.
    let unready = loop {
        let answer = gateway.exchange("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        if answer.status() != 200 {
            break answer;
        }
    };
    assert_eq!(
        (unready.status(), unready.headers["connection"].as_str()),
        (503, "close")
    );
    assert_eq!(read_message(&mut client).unwrap().body, b"done");
    let exit = gateway.child.wait().unwrap();
    assert!(
        exit.success(),
        "the gateway ended with {exit} after SIGTERM, expected success"
    );
    assert!(start.elapsed() < Duration::from_secs(3));
    assert!(gateway.log.iter().all(|line| !line.contains("panic")));
}

/// Discovery and the counter move, and SIGHUP announces the new addresses. Three failures are possible: without a
/// handler the signal ends the process; a silent connection to the old counter delays calls; the lower list versions of
/// the new discovery look outdated. The new addresses must be used at once after each reload.
#[test]
fn sighup_changes_the_addresses_of_discovery_and_counter() {
    let (old, _) = healthy_endpoint();
    let (new, _) = healthy_endpoint();
    let first = Discovery::new();
    let second = Discovery::new();
    let silent = start_server(|_| Reply::StaySilent(channel().0));
    let mut config = config(&[old], silent, first.addr);
    let gateway = Gateway::new(&config);
    let (_, _watch) = first.next_call();
    let mut customer = 1;
    assert_eq!(gateway.get(customer, 1).status(), 200);
    let amounts = Arc::new(Mutex::new(Vec::new()));
    config["counter"] = start_counter(amounts.clone()).to_string().into();
    for (round, discovery) in [&second, &first, &second].into_iter().enumerate() {
        config["discovery"] = discovery.addr.to_string().into();
        let logged = gateway.reload(&config.to_string());
        assert!(
            !logged.contains("reload failed"),
            "expected a successful reload: {logged}"
        );
        let (line, mut list) = discovery.next_call();
        assert!(
            !line.contains("stream"),
            "expected a call for the complete list: {line}"
        );
        let addr = if round % 2 == 0 { new } else { old };
        let text = serde_json::json!({"version": 1, "full": true, "servers": [list_entry(round, addr, "Ready")]});
        list.write_all(response(200, "", &text.to_string()).as_bytes())
            .unwrap();
        let (line, _watch) = Discovery::watch_after_list(list);
        assert!(line.contains("index=1"), "expected index=1 in {line}");
        let before = amounts.lock().unwrap().len();
        let start = Instant::now();
        while amounts.lock().unwrap().len() == before {
            customer += 1;
            assert!(
                start.elapsed() < TEST_TIMEOUT,
                "the gateway does not call the new counter within {TEST_TIMEOUT:?}"
            );
            assert_eq!(gateway.get(customer, 1).status(), 200);
        }
    }
}

/// SIGHUP arrives while the configuration file is truncated, empty or invalid. A process that applied such a file, or
/// exited, would stop serving because of a typing error. The old configuration must stay in use, and the log must say
/// so.
#[test]
fn sighup_with_an_invalid_file_keeps_the_old_configuration() {
    let (endpoint, _) = healthy_endpoint();
    let valid = config_with_silent_discovery(&[endpoint]);
    let gateway = Gateway::new(&valid);
    let mut invalid = valid.clone();
    invalid["settings"]["position"] = 9.into();
    let mut customer = 0;
    for text in [
        "{\"name\": \"n0\", ".to_owned(),
        String::new(),
        invalid.to_string(),
    ] {
        let logged = gateway.reload(&text);
        assert!(
            logged.contains("reload failed, the running configuration stays in use"),
            "{logged}"
        );
        customer += 1;
        assert_eq!(gateway.get(customer, 1).status(), 200);
    }
}

/// Request deadlines are longer than a shutdown may last. A process that waits for an open request until SIGKILL leaves
/// the client without a response. The request must be served if that is possible before SIGKILL, and must fail in time
/// otherwise.
#[test]
fn sigterm_waits_for_open_requests_until_shortly_before_sigkill() {
    for hangs in [false, true] {
        let (started_sender, started) = channel();
        let addr = start_server(move |_| {
            let _ = started_sender.send(());
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
        let mut client = gateway.connect();
        client
            .get_mut()
            .write_all(get_request(1, 1, 7000).as_bytes())
            .unwrap();
        started.recv_timeout(TEST_TIMEOUT).unwrap();
        let start = Instant::now();
        gateway.signal("-TERM");
        assert_eq!(
            read_message(&mut client)
                .expect("the gateway responds")
                .status(),
            if hangs { 502 } else { 200 }
        );
        let exit = gateway.child.wait().unwrap();
        assert!(
            exit.success(),
            "the gateway ended with {exit} after SIGTERM, expected success (hangs: {hangs})"
        );
        // SIGKILL would follow 3.7 s after SIGTERM.
        assert!(
            start.elapsed() < Duration::from_millis(3650),
            "the program exits {:?} after SIGTERM, expected less than 3.65 s",
            start.elapsed()
        );
    }
}

/// Clients connect just before the gateway stops accepting, and the process stalls before it has accepted them. If the
/// process closed the listener after the stall, their connections would be reset and their requests lost. The clients
/// must be accepted and served.
#[test]
fn sigterm_serves_clients_that_have_connected_before_the_listener_closes() {
    let (endpoint, _) = healthy_endpoint();
    let mut gateway = Gateway::new(&config_with_silent_discovery(&[endpoint]));
    let mut busy = gateway.connect();
    busy.get_mut().write_all(b"GET /look").unwrap();
    gateway.signal("-TERM");
    // The process stalls beyond the end of the accept period, and finds waiting clients afterwards.
    let mut unready = gateway.exchange("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    while unready.status() == 200 {
        unready = gateway.exchange("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    }
    gateway.signal("-STOP");
    let mut clients: Vec<_> = (0..20).map(|_| gateway.connect()).collect();
    for (customer, client) in clients.iter_mut().enumerate() {
        client
            .get_mut()
            .write_all(get_request(customer as u64, 1, 3000).as_bytes())
            .unwrap();
    }
    std::thread::sleep(Duration::from_millis(800));
    gateway.signal("-CONT");
    let statuses = read_statuses(&mut clients);
    assert_eq!(statuses, [Some(200); 20]);
    drop(busy);
    let exit = gateway.child.wait().unwrap();
    assert!(
        exit.success(),
        "the gateway ended with {exit} after SIGTERM, expected success"
    );
}

/// SIGTERM and SIGHUP arrive at the same time. One could hide the other, or the reload could delay the shutdown until
/// SIGKILL. The process must exit with success in either order.
#[test]
fn sigterm_and_sighup_together_exit_successfully() {
    for order in [["-HUP", "-TERM"], ["-TERM", "-HUP"]] {
        let (endpoint, _) = healthy_endpoint();
        let mut gateway = Gateway::new(&config_with_silent_discovery(&[endpoint]));
        // A suspended process receives both signals when it continues.
        for name in ["-STOP", order[0], order[1], "-CONT"] {
            gateway.signal(name);
        }
        let exit = gateway.child.wait().unwrap();
        assert!(
            exit.success(),
            "the gateway ended with {exit} after the signals {order:?}, expected success"
        );
    }
}

/// The metrics tell the engineer on call how requests, attempts and connections ended, and whether a rule was broken. A
/// metric that is missing or wrong hides a fault. Each metric must be present with its label and the right count.
#[test]
fn metrics_are_served_as_text() {
    let (endpoint, _) = healthy_endpoint();
    let gateway = Gateway::new(&config_with_silent_discovery(&[endpoint]));
    assert_eq!(gateway.get(1, 1).status(), 200);
    assert_eq!(
        gateway
            .exchange("GET /none HTTP/1.1\r\nHost: x\r\n\r\n")
            .status(),
        404
    );
    let metrics = gateway.exchange("GET /health/metrics HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(metrics.status(), 200);
    let text = String::from_utf8(metrics.body).unwrap();
    for line in [
        "gateway_requests_total{outcome=\"success\"} 1",
        "gateway_requests_total{outcome=\"invalid\"} 1",
        "gateway_attempts_total{outcome=\"success\"} 1",
        "gateway_accept_errors_total 0",
    ] {
        assert!(
            text.lines().any(|other| other == line),
            "expected the line {line} in\n{text}"
        );
    }
    let violations = text
        .lines()
        .filter(|line| line.starts_with("gateway_rule_violations_total"));
    assert!(
        violations.clone().count() == 7 && violations.clone().all(|line| line.ends_with(" 0")),
        "expected 7 rules without violations:\n{text}"
    );
}

/// A customer reports a problem with one request by its transaction id. The log at the level `debug` must show that
/// request and the outcome of its attempt.
#[test]
fn the_debug_log_shows_a_request_by_its_transaction_id() {
    let (endpoint, _) = healthy_endpoint();
    let gateway = Gateway::with_environment(
        &config_with_silent_discovery(&[endpoint]),
        &[("RELAY_LOG", "debug".to_owned())],
    );
    assert_eq!(gateway.get(0xabc, 1).status(), 200);
    gateway.wait_for_log("txn=0000000000000abc");
    gateway.wait_for_log("outcome=Success");
}

/// Discovery moves while the gateway shuts down, and SIGHUP announces the new address. The remaining requests still
/// need discovery and the counter. The new configuration must be applied, and the shutdown must go on.
#[test]
fn a_reload_during_the_shutdown_is_applied() {
    let (started_sender, started) = channel();
    let addr = start_server(move |_| {
        let _ = started_sender.send(());
        std::thread::sleep(Duration::from_secs(1));
        Reply::Send(response(200, "", "done"))
    });
    let config = config_with_silent_discovery(&[addr]);
    let mut gateway = Gateway::new(&config);
    let mut client = gateway.connect();
    client
        .get_mut()
        .write_all(get_request(1, 1, 3000).as_bytes())
        .unwrap();
    started.recv_timeout(TEST_TIMEOUT).unwrap();
    gateway.signal("-TERM");
    std::thread::sleep(Duration::from_millis(100));
    let logged = gateway.reload(&config.to_string());
    assert!(
        logged.contains("configuration reloaded"),
        "expected a successful reload: {logged}"
    );
    assert_eq!(read_message(&mut client).unwrap().body, b"done");
    let exit = gateway.child.wait().unwrap();
    assert!(
        exit.success(),
        "the gateway ended with {exit} after SIGTERM and SIGHUP, expected success"
    );
}
