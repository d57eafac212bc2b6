//! Tests of the classification of system call errors.

use super::{is_resource_exhaustion, is_transient};
use rustix::io::Errno;
use std::io;

/// Returns the error of a system call that failed with `errno`.
fn error(errno: Errno) -> io::Error {
    io::Error::from_raw_os_error(errno.raw_os_error())
}

#[test]
fn exhausted_resources_are_distinguished_from_errors_of_one_connection() {
    for errno in [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM] {
        assert!(is_resource_exhaustion(&error(errno)) && is_transient(&error(errno)), "{errno}");
    }
    for errno in [Errno::CONNABORTED, Errno::PROTO, Errno::NETUNREACH, Errno::HOSTUNREACH, Errno::TIMEDOUT] {
        assert!(!is_resource_exhaustion(&error(errno)), "{errno}");
    }
}

#[test]
fn transient_errors_are_distinguished_from_permanent_ones() {
    for errno in [Errno::ACCESS, Errno::INVAL, Errno::NOENT, Errno::AFNOSUPPORT] {
        assert!(!is_transient(&error(errno)), "{errno}");
    }
    for errno in [Errno::ADDRINUSE, Errno::ADDRNOTAVAIL, Errno::INTR, Errno::IO] {
        assert!(is_transient(&error(errno)), "{errno}");
    }
}
