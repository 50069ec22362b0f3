//! System calls that fail for a moment, as Linux documents it.

use crate::stand_ins::*;
use std::io::Write;
use std::time::Duration;

/// A connection that the system has accepted stays in its queue when accepting it fails, and is served after that,
/// also at the end of the listener.
#[test]
fn a_failure_to_accept_at_the_end_of_the_listener_loses_no_client() {
    for faults in ["accept_abort=500", "accept_full=500", "accept_abort=700,accept_full=300,seed=7"] {
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
            open.get_mut().write_all(get_request(customer as u64, 1, 3000).as_bytes()).unwrap();
        }
        std::thread::sleep(Duration::from_millis(800));
        gateway.signal("-CONT");
        let statuses: Vec<_> =
            opens.iter_mut().map(|open| read_message(open).map(|answer| answer.status())).collect();
        assert_eq!(statuses, [Some(200); 40], "{faults}");
        assert!(gateway.child.wait().unwrap().success());
    }
}

/// Failures after which no more requests are made.
const MAX_FAILURES: usize = 5;

/// Makes requests of 300 customers on ten connections; returns the statuses of the answers that are not 200.
fn statuses_but_success(gateway: &Gateway) -> Vec<Option<u16>> {
    let mut clients: Vec<_> = (0..10).map(|_| gateway.connect()).collect();
    let mut failures = Vec::new();
    for customer in 0..300 {
        let client = &mut clients[customer % 10];
        let request = if customer % 3 == 0 {
            post_request("once", "", &"x".repeat(customer * 50))
                .replace("9b1f03aa", &format!("{customer:08x}"))
                .replace("account=0000000000000007", &format!("account={customer:016x}"))
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

/// Interrupted system calls are made again.
#[test]
fn interrupted_transfers_lose_nothing() {
    let (endpoint, _) = healthy_endpoint();
    let config = config_with_silent_discovery(&[endpoint]);
    let gateway = Gateway::with_faults(&config, "recv_eintr=50,send_eintr=50,epoll_eintr=50");
    assert_eq!(statuses_but_success(&gateway), []);
}

/// A transfer that was cut short says nothing of what is left in the socket.
#[test]
fn transfers_that_are_cut_short_lose_nothing() {
    let (endpoint, _) = healthy_endpoint();
    let config = config_with_silent_discovery(&[endpoint]);
    let gateway = Gateway::with_faults(&config, "recv_short=300,send_short=300");
    assert_eq!(statuses_but_success(&gateway), []);
}
