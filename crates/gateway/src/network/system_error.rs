//! Classification of system call errors: errors of a single connection, of the network, or of exhausted
//! resources.

use rustix::io::Errno;
use std::io;

/// Returns whether the system or this process has temporarily run out of descriptors, buffers or memory.
pub fn is_resource_exhaustion(error: &io::Error) -> bool {
    let errno = Errno::from_io_error(error);
    matches!(errno, Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM))
}

/// Returns whether this process has reached its limit of open descriptors.
pub fn is_descriptor_limit(error: &io::Error) -> bool {
    Errno::from_io_error(error) == Some(Errno::MFILE)
}

/// Returns whether an address or a port is temporarily unavailable.
pub fn is_address_unavailable(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::AddrInUse | io::ErrorKind::AddrNotAvailable)
}

/// Returns whether a connection could not be opened because this machine temporarily lacks a resource, which
/// does not indicate a fault of the peer.
pub fn is_local_resource_error(error: &io::Error) -> bool {
    is_resource_exhaustion(error)
        || is_address_unavailable(error)
        || error.kind() == io::ErrorKind::NetworkUnreachable
}

/// Returns whether the error may be transient, so that the same call may succeed a moment later.
pub fn is_transient(error: &io::Error) -> bool {
    let errno = Errno::from_io_error(error);
    let is_transient = matches!(errno, Some(Errno::INTR | Errno::AGAIN | Errno::IO | Errno::NETDOWN));
    is_transient || is_resource_exhaustion(error) || is_address_unavailable(error)
}

#[cfg(test)]
mod tests;
