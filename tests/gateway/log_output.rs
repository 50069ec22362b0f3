//! Logs that cannot be written.

use crate::stand_ins::*;
use std::fs::OpenOptions;
use std::io::Write;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;

/// The disk of the log is full, and each write to it fails. A program that treats this as a fatal error would exit and
/// lose its requests. Log lines may be lost, but requests must be served and the shutdown must succeed.
#[test]
fn a_log_on_a_full_disk_does_not_end_the_program() {
    let (endpoint, _) = healthy_endpoint();
    let full = OpenOptions::new().write(true).open("/dev/full").unwrap();
    let mut gateway = Gateway::with_log(&config_with_silent_discovery(&[endpoint]), full);
    assert_eq!(gateway.get(1, 1).status(), 200);
    gateway.signal("-HUP");
    assert_eq!(gateway.get(2, 1).status(), 200);
    gateway.signal("-TERM");
    let exit = gateway.child.wait().unwrap();
    assert!(
        exit.success(),
        "the gateway ended with {exit} after SIGTERM with its log on a full disk, expected success"
    );
}

/// The reader of the log stops reading, so that writes block. Blocking writes on the gateway's only thread would stall
/// all requests and the shutdown. Both must go on.
#[test]
fn a_blocked_log_stalls_neither_requests_nor_shutdown() {
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
    let exit = gateway.child.wait().unwrap();
    assert!(
        exit.success(),
        "the gateway ended with {exit} after SIGTERM with a blocked log, expected success"
    );
}
