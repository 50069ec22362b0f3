//! The end of a connection shows whether the gateway has read the request. A gateway that reads a request and then
//! drops it has lost the request. If a gateway closes before it reads, the client may send the request again.

use super::{Close, CROSSING_TIME};
use std::io::{Error, ErrorKind};
use std::time::Duration;

const DELAY: Duration = Duration::from_millis(3);

#[test]
fn an_orderly_close_after_a_request_has_arrived_means_that_it_was_read() {
    let late = CROSSING_TIME + DELAY + Duration::from_millis(1);
    assert_eq!(Close::classify(&Ok(None), late, DELAY), Close::Dropped);
    assert_eq!(
        Close::classify(&Ok(None), CROSSING_TIME + DELAY, DELAY),
        Close::Unread,
        "the request may have crossed the close"
    );
    let reset = Err(Error::from(ErrorKind::ConnectionReset));
    assert_eq!(
        Close::classify(&reset, late, DELAY),
        Close::Unread,
        "the system resets a connection with unread bytes"
    );
}

#[test]
fn idle_clients_excuse_only_requests_that_were_never_read() {
    assert!(Close::Unread.may_be_due_to_idle_clients(false));
    assert!(
        !Close::Unread.may_be_due_to_idle_clients(true),
        "an endpoint has received the request"
    );
    assert!(
        !Close::Dropped.may_be_due_to_idle_clients(false),
        "the request was read and dropped"
    );
}
