//! Blocking server of the shared counter.

use super::server::{start_server, Reply};
use crate::counter_totals::{CounterCall, CounterTotals};
use crate::message::response;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// Starts a counter that records the amount of each call in `amounts`. Totals have three decimals, like those of the
/// real counter.
///
/// # Panics
///
/// Panics if no port is free. A call without an amount ends its connection.
pub fn start_counter(amounts: Arc<Mutex<Vec<f64>>>) -> SocketAddr {
    let totals = Mutex::new(CounterTotals::default());
    start_server(move |request| {
        let call = CounterCall::parse(request.target())
            .expect("the target of a counter call has a number in the parameter `by`");
        amounts
            .lock()
            .expect("no thread panics while it holds the lock")
            .push(call.amount);
        let total = totals
            .lock()
            .expect("no thread panics while it holds the lock")
            .add(&call);
        Reply::Send(response(200, "", &total))
    })
}
