//! Classifies errors of system calls. A transient error has its cause on this machine, and a later call may succeed.

use nix::libc;
use std::io::{self, ErrorKind};

/// Transient errors of opening a file or a socket.
const OPEN_ERRORS: [i32; 8] = [
    libc::EADDRNOTAVAIL,
    libc::EAGAIN,
    libc::EINTR,
    libc::EIO,
    libc::EMFILE,
    libc::ENFILE,
    libc::ENOBUFS,
    libc::ENOMEM,
];
/// Transient errors of a call on an open socket, which do not indicate a broken connection.
const TRANSFER_ERRORS: [i32; 4] = [libc::EAGAIN, libc::EINTR, libc::ENOBUFS, libc::ENOMEM];
/// Errors caused by a lack of descriptors or memory. Any other call may fail in the same way.
const RESOURCE_ERRORS: [i32; 4] = [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];

/// True if an error of opening a file or a socket is transient.
pub fn is_transient_open_error(error: &io::Error) -> bool {
    is_one_of(error, &OPEN_ERRORS)
}

/// True if an error of binding an address is transient. The address may be in use until the previous process has ended.
pub fn is_transient_bind_error(error: &io::Error) -> bool {
    error.kind() == ErrorKind::AddrInUse || is_transient_open_error(error)
}

/// True if an error of a read, write or peek on an open socket is transient, so that the call can be repeated.
pub fn is_transient_transfer_error(error: &io::Error) -> bool {
    // The runtime creates `WouldBlock` errors without an error code of the system.
    error.kind() == ErrorKind::WouldBlock || is_one_of(error, &TRANSFER_ERRORS)
}

/// True if an error was caused by a lack of descriptors or memory.
pub fn is_resource_exhaustion(error: &io::Error) -> bool {
    is_one_of(error, &RESOURCE_ERRORS)
}

fn is_one_of(error: &io::Error, codes: &[i32]) -> bool {
    error
        .raw_os_error()
        .is_some_and(|code| codes.contains(&code))
}
