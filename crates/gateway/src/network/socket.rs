//! Stream sockets that do not interpret short reads and writes as a change of readiness. Every connection of
//! the gateway is read and written through [`Socket`].
//!
//! tokio's streams interpret a read or write of fewer bytes than requested as a sign that the socket is empty
//! or full, and wait for the next readiness event before they try again. A call may be short for other
//! reasons, such as a signal; then no event follows, and the connection would hang. A [`Socket`] waits only
//! once the operating system has reported that a call would block.

use std::io;
use std::mem::MaybeUninit;
use std::os::fd::AsFd;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpStream, UnixStream};

/// A non-blocking stream that reports when it may be ready. Its reads and writes fail with
/// [`io::ErrorKind::WouldBlock`] while it is not ready.
pub trait ReadyStream: Unpin {
    /// Waits until the stream may be readable.
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>>;
    /// Waits until the stream may be writable.
    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>>;
    /// Reads available data.
    fn try_read(&self, buf: &mut ReadBuf<'_>) -> io::Result<usize>;
    /// Writes as much as the operating system accepts.
    fn try_write(&self, data: &[u8]) -> io::Result<usize>;
    /// Shuts down the sending side.
    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>>;
}

/// Implements [`ReadyStream`] for a tokio stream.
macro_rules! impl_ready_stream {
    ($stream:ty) => {
        impl ReadyStream for $stream {
            fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
                self.poll_read_ready(cx)
            }

            fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
                self.poll_write_ready(cx)
            }

            fn try_read(&self, buf: &mut ReadBuf<'_>) -> io::Result<usize> {
                self.try_read_buf(buf)
            }

            fn try_write(&self, data: &[u8]) -> io::Result<usize> {
                self.try_write(data)
            }

            fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
                AsyncWrite::poll_shutdown(self, cx)
            }
        }
    };
}

impl_ready_stream!(TcpStream);
impl_ready_stream!(UnixStream);

/// A stream that waits only once the operating system has reported that a call would block.
pub struct Socket<S>(S);

impl<S> Socket<S> {
    /// Wraps a stream.
    pub fn new(stream: S) -> Socket<S> {
        Socket(stream)
    }

    /// Returns the stream, for direct system calls.
    pub fn get_ref(&self) -> &S {
        &self.0
    }
}

impl<S: AsFd> Socket<S> {
    /// Returns whether the stream is open and has no unread input. This queries the operating system, because
    /// the runtime's readiness is only as recent as its last poll for events.
    pub fn has_no_unread_input(&self) -> bool {
        let peeked = socket2::SockRef::from(&self.0).peek(&mut [MaybeUninit::uninit()]);
        peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }
}

impl<S: ReadyStream> AsyncRead for Socket<S> {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            if let Some(read) = completed_result(self.0.try_read(buf)) {
                return Poll::Ready(read.map(drop));
            }
        }
    }
}

impl<S: ReadyStream> AsyncWrite for Socket<S> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            if let Some(written) = completed_result(self.0.try_write(data)) {
                return Poll::Ready(written);
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}

/// Returns the result of a system call, or `None` if the call must be repeated, at once or when the stream
/// may be ready.
fn completed_result(result: io::Result<usize>) -> Option<io::Result<usize>> {
    match result {
        Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => None,
        result => Some(result),
    }
}
