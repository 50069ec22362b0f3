//! The log goes where the operators have it go, and may fail there.

use crate::stand_ins::*;
use std::fs::OpenOptions;
use std::io::Write;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;

/// A log that can't be written is lost, and nothing else is.
#[test]
fn a_log_on_a_full_disk_does_not_end_the_program() {
    let (endpoint, _) = healthy_endpoint();
    let full = OpenOptions::new().write(true).open("/dev/full").unwrap();
    let mut gateway = Gateway::with_log(&config_with_silent_discovery(&[endpoint]), full);
    assert_eq!(gateway.get(1, 1).status(), 200);
    gateway.signal("-HUP");
    assert_eq!(gateway.get(2, 1).status(), 200);
    gateway.signal("-TERM");
    assert!(gateway.child.wait().unwrap().success());
}

/// A reader of the log that stands still holds nothing up, neither requests nor the end.
#[test]
fn a_log_that_nobody_reads_holds_nothing_up() {
    let (endpoint, _) = healthy_endpoint();
    let (log, _unread) = UnixStream::pair().unwrap();
    log.set_nonblocking(true).unwrap();
    while (&log).write(&[b'x'; 4096]).is_ok() {}
    log.set_nonblocking(false).unwrap();
    let mut gateway = Gateway::with_log(
        &config_with_silent_discovery(&[endpoint]),
        OwnedFd::from(log),
    );
    for customer in 0..3 {
        gateway.signal("-HUP");
        assert_eq!(gateway.get(customer, 1).status(), 200);
    }
    gateway.signal("-TERM");
    assert!(gateway.child.wait().unwrap().success());
}
