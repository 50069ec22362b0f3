//! How the end of a connection tells whether a request was read.

use super::{Close, CROSSING_TIME};
use std::io::{Error, ErrorKind};
use std::time::Duration;

const LAG: Duration = Duration::from_millis(3);

#[test]
fn an_orderly_close_after_a_request_has_arrived_means_that_it_was_read() {
    let late = CROSSING_TIME + LAG + Duration::from_millis(1);
    assert_eq!(Close::seen(&Ok(None), late, LAG), Close::Dropped);
    assert_eq!(
        Close::seen(&Ok(None), CROSSING_TIME + LAG, LAG),
        Close::Unread,
        "it may have crossed the close"
    );
    let reset = Err(Error::from(ErrorKind::ConnectionReset));
    assert_eq!(
        Close::seen(&reset, late, LAG),
        Close::Unread,
        "the system resets over unread bytes"
    );
}

#[test]
fn a_crowd_excuses_only_what_was_never_read() {
    assert!(Close::Unread.is_due_to_crowd(false));
    assert!(
        !Close::Unread.is_due_to_crowd(true),
        "an endpoint has seen it"
    );
    assert!(
        !Close::Dropped.is_due_to_crowd(false),
        "it was read and dropped"
    );
}
