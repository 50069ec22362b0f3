//! Which failures of system calls pass by themselves.

use nix::libc;
use std::io::{self, ErrorKind};

/// Failures to open something that lie on this machine and may pass.
const OPENING_ERRORS: [i32; 8] = [
    libc::EADDRNOTAVAIL,
    libc::EAGAIN,
    libc::EINTR,
    libc::EIO,
    libc::EMFILE,
    libc::ENFILE,
    libc::ENOBUFS,
    libc::ENOMEM,
];
/// Failures of a call on an open socket that say nothing of the connection.
const TRANSFER_ERRORS: [i32; 4] = [libc::EAGAIN, libc::EINTR, libc::ENOBUFS, libc::ENOMEM];
/// Failures that concern all calls alike: descriptors or memory are short.
const RESOURCE_ERRORS: [i32; 4] = [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];

/// Whether an error of opening something lies on this machine and may pass.
pub fn may_pass(error: &io::Error) -> bool {
    is_one_of(error, &OPENING_ERRORS)
}

/// Whether an error of taking an address may pass: the former process may not have ended.
pub fn may_pass_for_address(error: &io::Error) -> bool {
    error.kind() == ErrorKind::AddrInUse || may_pass(error)
}

/// Whether a call on an open socket is to be made again: the system can't carry it out at this moment.
pub fn may_pass_for_transfer(error: &io::Error) -> bool {
    // The runtime makes errors of this kind itself.
    error.kind() == ErrorKind::WouldBlock || is_one_of(error, &TRANSFER_ERRORS)
}

/// Whether descriptors or memory are short.
pub fn lacks_resources(error: &io::Error) -> bool {
    is_one_of(error, &RESOURCE_ERRORS)
}

fn is_one_of(error: &io::Error, codes: &[i32]) -> bool {
    error
        .raw_os_error()
        .is_some_and(|code| codes.contains(&code))
}
