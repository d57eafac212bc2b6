//! A connection that knows when the system received its data, however late the thread that reads it gets a core.

use nix::cmsg_space;
use nix::sys::socket::sockopt::ReceiveTimestampns;
use nix::sys::socket::{recvmsg, setsockopt, ControlMessageOwned, MsgFlags};
use nix::sys::time::TimeSpec;
use std::io::{self, IoSliceMut, Read};
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// An accepted connection.
pub struct TimestampedStream {
    /// The connection.
    stream: TcpStream,
    /// When the system received the data that was read last.
    received_at: Instant,
}

/// Has the system record when it receives the data of connections to a listener.
pub fn record_receive_times(listener: &TcpListener) {
    setsockopt(listener, ReceiveTimestampns, &true).unwrap();
}

impl TimestampedStream {
    /// A connection to a listener of [`record_receive_times`].
    pub fn new(stream: TcpStream) -> TimestampedStream {
        TimestampedStream { stream, received_at: Instant::now() }
    }

    /// When the system received the data that was read last.
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

/// How long ago a time of the wall clock was.
fn age(time: TimeSpec) -> Duration {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    since_epoch.saturating_sub(time.into())
}
