//! Kernel information about a TCP connection.

use nix::sys::socket::getsockopt;
use nix::{getsockopt_impl, sockopt_impl};
use std::io;
use std::mem::offset_of;
use std::os::fd::AsFd;
use std::time::Duration;

/// Index of the time since the last data among the words of [`TcpInfo`].
const LAST_DATA_RECEIVED_INDEX: usize = offset_of!(libc::tcp_info, tcpi_last_data_recv) / size_of::<u32>();
/// Maximum amount by which the kernel overstates the time since the last data, which it counts in ticks of at
/// most 10 ms.
const MAX_KERNEL_TICK: Duration = Duration::from_millis(10);

sockopt_impl!(
    /// Beginning of Linux's `struct tcp_info`, in words. Newer kernels extend the structure without changing
    /// this part.
    TcpInfo,
    GetOnly,
    libc::IPPROTO_TCP,
    libc::TCP_INFO,
    [u32; LAST_DATA_RECEIVED_INDEX + 1]
);

/// The time since the newest byte of a connection reached this machine, whether or not it has been read.
#[derive(Clone, Copy, Debug)]
pub struct NewestByteAge {
    /// Lower bound; 0 where the operating system does not provide the time.
    pub at_least: Duration,
    /// The time that the operating system states; where it states none, the time since input was last read.
    pub estimate: Duration,
}

/// Returns the time since the newest byte of a connection reached this machine, as the kernel states it.
pub fn newest_byte_age(connection: &impl AsFd) -> io::Result<NewestByteAge> {
    let words = getsockopt(connection, TcpInfo)?;
    let estimate = Duration::from_millis(words[LAST_DATA_RECEIVED_INDEX].into());
    Ok(NewestByteAge { at_least: estimate.saturating_sub(MAX_KERNEL_TICK), estimate })
}

/// Returns the number of bytes of a connection that have reached this machine and have not been read.
pub fn unread_bytes(connection: &impl AsFd) -> io::Result<u64> {
    Ok(rustix::io::ioctl_fionread(connection)?)
}

#[cfg(test)]
mod tests;
