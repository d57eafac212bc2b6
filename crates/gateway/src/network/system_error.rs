//! What errors of system calls say: of one connection, of the network for a moment, or of what the system has left.

use rustix::io::Errno;
use std::io;

/// Whether the system, or this process, has no descriptor, buffer or memory left just now.
pub fn is_exhaustion(error: &io::Error) -> bool {
    let errno = Errno::from_io_error(error);
    matches!(errno, Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM))
}

/// Whether this process holds as many descriptors as it may.
pub fn is_descriptor_limit(error: &io::Error) -> bool {
    Errno::from_io_error(error) == Some(Errno::MFILE)
}

/// Whether an address or a port cannot be had just now.
pub fn is_address_unavailable(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::AddrInUse | io::ErrorKind::AddrNotAvailable)
}

/// Whether a connection could not be opened for what this machine lacks just now; that says nothing of its far side.
pub fn is_local(error: &io::Error) -> bool {
    is_exhaustion(error) || is_address_unavailable(error) || error.kind() == io::ErrorKind::NetworkUnreachable
}

/// Whether the same call may do better a moment later, whatever it was.
pub fn may_pass(error: &io::Error) -> bool {
    let errno = Errno::from_io_error(error);
    let interrupted = matches!(errno, Some(Errno::INTR | Errno::AGAIN | Errno::IO | Errno::NETDOWN));
    interrupted || is_exhaustion(error) || is_address_unavailable(error)
}

#[cfg(test)]
mod tests;
