//! Classifies errors of system calls: those of one connection, of the network, or of exhausted resources.

use rustix::io::Errno;
use std::io;

/// Whether the system or this process has no descriptor, buffer or memory left at present.
pub fn is_exhaustion(error: &io::Error) -> bool {
    let errno = Errno::from_io_error(error);
    matches!(errno, Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM))
}

/// Whether this process has reached its limit of open descriptors.
pub fn is_descriptor_limit(error: &io::Error) -> bool {
    Errno::from_io_error(error) == Some(Errno::MFILE)
}

/// Whether an address or a port is not available at present.
pub fn is_address_unavailable(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::AddrInUse | io::ErrorKind::AddrNotAvailable)
}

/// Whether a connection could not be opened because this machine lacks a resource at present, which says nothing of
/// the peer.
pub fn is_local_shortage(error: &io::Error) -> bool {
    is_exhaustion(error) || is_address_unavailable(error) || error.kind() == io::ErrorKind::NetworkUnreachable
}

/// Whether the error may be transient, so that the same call may succeed a moment later.
pub fn is_transient(error: &io::Error) -> bool {
    let errno = Errno::from_io_error(error);
    let is_transient = matches!(errno, Some(Errno::INTR | Errno::AGAIN | Errno::IO | Errno::NETDOWN));
    is_transient || is_exhaustion(error) || is_address_unavailable(error)
}

#[cfg(test)]
mod tests;
