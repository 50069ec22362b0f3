//! The shared counter.

use super::server::{start_server, Reply};
use crate::counter_totals::{CounterCall, CounterTotals};
use crate::message::response;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// Starts a counter that writes totals with three decimals, as the real one does, and records the amounts.
///
/// # Panics
///
/// Panics if no port is free. A call without an amount breaks its connection.
pub fn start_counter(amounts: Arc<Mutex<Vec<f64>>>) -> SocketAddr {
    let totals = Mutex::new(CounterTotals::default());
    start_server(move |request| {
        let call = CounterCall::parse(request.target()).expect("a call has an amount");
        amounts
            .lock()
            .expect("no test panics with the lock")
            .push(call.amount);
        let total = totals
            .lock()
            .expect("no test panics with the lock")
            .add(&call);
        Reply::Send(response(200, "", &total))
    })
}
