//! Which errors of system calls are transient: they have their cause on this machine and may pass by themselves.

use nix::libc;
use std::io::{self, ErrorKind};

/// Transient errors of opening a file or a socket.
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
/// Transient errors of a call on an open socket: they say nothing about the connection.
const TRANSFER_ERRORS: [i32; 4] = [libc::EAGAIN, libc::EINTR, libc::ENOBUFS, libc::ENOMEM];
/// Errors for lack of descriptors or memory: any other call may fail in the same way.
const RESOURCE_ERRORS: [i32; 4] = [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];

/// Whether an error of opening a file or a socket is transient.
pub fn is_transient_open_error(error: &io::Error) -> bool {
    is_one_of(error, &OPENING_ERRORS)
}

/// Whether an error of binding an address is transient. The address may be in use until the former process has ended.
pub fn is_transient_bind_error(error: &io::Error) -> bool {
    error.kind() == ErrorKind::AddrInUse || is_transient_open_error(error)
}

/// Whether a call on an open socket can be repeated.
pub fn is_transient_for_transfer(error: &io::Error) -> bool {
    // The runtime makes errors of this kind without a code of the system.
    error.kind() == ErrorKind::WouldBlock || is_one_of(error, &TRANSFER_ERRORS)
}

/// Whether an error is for lack of descriptors or memory.
pub fn lacks_resources(error: &io::Error) -> bool {
    is_one_of(error, &RESOURCE_ERRORS)
}

fn is_one_of(error: &io::Error, codes: &[i32]) -> bool {
    error
        .raw_os_error()
        .is_some_and(|code| codes.contains(&code))
}
