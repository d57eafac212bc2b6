//! What the system knows of a TCP connection.

use nix::sys::socket::getsockopt;
use nix::{getsockopt_impl, sockopt_impl};
use std::io;
use std::mem::offset_of;
use std::os::fd::AsFd;
use std::time::Duration;

/// The place of the time since the last data among the words of [`TcpInfo`].
const LAST_DATA_RECEIVED: usize = offset_of!(libc::tcp_info, tcpi_last_data_recv) / size_of::<u32>();
/// How much the time since the last data may be ahead: the system counts it in ticks of 10 ms at most.
const MAX_TICK: Duration = Duration::from_millis(10);

sockopt_impl!(
    /// The beginning of Linux's `struct tcp_info` in words; newer kernels make it longer, not different.
    TcpInfo,
    GetOnly,
    libc::IPPROTO_TCP,
    libc::TCP_INFO,
    [u32; LAST_DATA_RECEIVED + 1]
);

/// How long ago at least the last data of a connection reached this machine, whether or not it was read since.
pub fn time_since_last_data(connection: &impl AsFd) -> io::Result<Duration> {
    let words = getsockopt(connection, TcpInfo)?;
    let since_last_data = Duration::from_millis(words[LAST_DATA_RECEIVED].into());
    Ok(since_last_data.saturating_sub(MAX_TICK))
}

#[cfg(test)]
mod tests;
