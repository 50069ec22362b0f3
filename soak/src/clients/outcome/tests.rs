//! How the end of a connection shows whether a request was read. A gateway that reads a request and then drops it has
//! lost it; one that closes before it reads has not, and the client may send it again.

use super::{Close, CROSSING_TIME};
use std::io::{Error, ErrorKind};
use std::time::Duration;

const DELAY: Duration = Duration::from_millis(3);

#[test]
fn an_orderly_close_after_a_request_has_arrived_means_that_it_was_read() {
    let late = CROSSING_TIME + DELAY + Duration::from_millis(1);
    assert_eq!(Close::seen(&Ok(None), late, DELAY), Close::Dropped);
    assert_eq!(
        Close::seen(&Ok(None), CROSSING_TIME + DELAY, DELAY),
        Close::Unread,
        "it may have crossed the close"
    );
    let reset = Err(Error::from(ErrorKind::ConnectionReset));
    assert_eq!(
        Close::seen(&reset, late, DELAY),
        Close::Unread,
        "the system resets over unread bytes"
    );
}

#[test]
fn idle_clients_excuse_only_what_was_never_read() {
    assert!(Close::Unread.is_due_to_idle_clients(false));
    assert!(
        !Close::Unread.is_due_to_idle_clients(true),
        "an endpoint has seen it"
    );
    assert!(
        !Close::Dropped.is_due_to_idle_clients(false),
        "it was read and dropped"
    );
}
