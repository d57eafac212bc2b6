//! A connection that reports when the kernel received its data, however late the reading thread is scheduled.

use nix::cmsg_space;
use nix::sys::socket::sockopt::ReceiveTimestampns;
use nix::sys::socket::{recvmsg, setsockopt, ControlMessageOwned, MsgFlags};
use nix::sys::time::TimeSpec;
use std::io::{self, IoSliceMut, Read};
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// An accepted connection with kernel receive timestamps.
pub struct TimestampedStream {
    stream: TcpStream,
    /// The time at which the kernel received the data that was read last.
    received_at: Instant,
}

/// Enables kernel receive timestamps on the connections that a listener accepts.
pub fn enable_receive_timestamps(listener: &TcpListener) {
    setsockopt(listener, ReceiveTimestampns, &true).unwrap();
}

impl TimestampedStream {
    /// Wraps a connection whose listener has passed through [`enable_receive_timestamps`].
    pub fn new(stream: TcpStream) -> TimestampedStream {
        TimestampedStream { stream, received_at: Instant::now() }
    }

    /// Returns the time at which the kernel received the data that was read last.
    pub fn received_at(&self) -> Instant {
        self.received_at
    }
}

impl Read for TimestampedStream {
    fn read(&mut self, data: &mut [u8]) -> io::Result<usize> {
        let mut parts = [IoSliceMut::new(data)];
        let mut control = cmsg_space!(TimeSpec);
        let flags = MsgFlags::empty();
        let message = recvmsg::<()>(self.stream.as_raw_fd(), &mut parts, Some(&mut control), flags)?;
        let now = Instant::now();
        let age = message.cmsgs()?.find_map(|control| match control {
            ControlMessageOwned::ScmTimestampns(received) => Some(age(received)),
            _ => None,
        });
        self.received_at = now - age.unwrap_or_default();
        Ok(message.bytes)
    }
}

/// Returns the time elapsed since a time of the wall clock.
fn age(time: TimeSpec) -> Duration {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    since_epoch.saturating_sub(time.into())
}
