//! Calls to the shared counter.

use crate::stand_ins::*;
use std::io::Write;
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};

/// The counter writes totals with three decimals, and amounts at the beginning of a window are tiny. If they were
/// rounded to 0, usage would not be counted and customers could exceed their quota. All amounts on the wire must be
/// large enough not to be rounded to 0, and small enough for the counter to accept.
#[test]
fn amounts_are_too_large_to_be_rounded_to_zero_by_the_counter() {
    let (endpoint, _) = healthy_endpoint();
    let amounts = Arc::new(Mutex::new(Vec::new()));
    let silent = start_server(|_| Reply::StaySilent(channel().0));
    let gateway = Gateway::new(&config(&[endpoint], start_counter(amounts.clone()), silent));
    // The windows of customers start at different times, so these customers are at various points of their windows.
    let mut client = gateway.connect();
    for customer in 0..8 {
        client
            .get_mut()
            .write_all(get_request(customer * 0x1234_5671, 2, 3000).as_bytes())
            .unwrap();
        assert_eq!(read_message(&mut client).unwrap().status(), 200);
    }
    let amounts = amounts.lock().unwrap();
    assert!(!amounts.is_empty(), "the counter has received no calls");
    assert!(
        amounts
            .iter()
            .all(|amount| *amount >= 0.005 && *amount <= 1e9),
        "amounts of calls, expected 0.005 to 1e9: {amounts:?}"
    );
}

/// The counter is down: it does not answer, answers with something other than a total, answers with invalid HTTP, or
/// refuses connections. If requests waited for it or were rejected, an outage of the counter would become an outage of
/// the gateway. All requests must be served.
#[test]
fn requests_are_served_while_the_counter_is_silent_invalid_or_unreachable() {
    let (endpoint, _) = healthy_endpoint();
    let silent = start_server(|_| Reply::StaySilent(channel().0));
    let invalid_total = start_server(|_| Reply::Send(response(200, "", "many")));
    let invalid_http = start_server(|_| Reply::SendAndClose("no HTTP\r\n\r\n".to_owned()));
    for counter in [silent, invalid_total, invalid_http, unused_address()] {
        let gateway = Gateway::new(&config(
            &[endpoint],
            counter,
            start_server(|_| Reply::StaySilent(channel().0)),
        ));
        for customer in 0..6 {
            assert_eq!(gateway.get(customer, 1).status(), 200);
        }
    }
}
