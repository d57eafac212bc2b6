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

/// Returns a lower bound of the time since the last data of a connection reached this machine, whether or not
/// it has been read.
pub fn time_since_last_data(connection: &impl AsFd) -> io::Result<Duration> {
    let words = getsockopt(connection, TcpInfo)?;
    let since_last_data = Duration::from_millis(words[LAST_DATA_RECEIVED_INDEX].into());
    Ok(since_last_data.saturating_sub(MAX_KERNEL_TICK))
}

#[cfg(test)]
mod tests;
