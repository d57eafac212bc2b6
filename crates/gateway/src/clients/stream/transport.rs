//! I/O traits through which hyper reads and writes a client connection.

use super::ClientStream;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Instant;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The I/O object that hyper uses for a client connection.
pub struct ClientStreamIo(pub Rc<ClientStream>);

impl AsyncRead for ClientStreamIo {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let stream = &self.0;
        // No waker is registered: hyper polls again once the service has returned the response.
        if stream.waiting_for_disconnect.get() {
            return Poll::Pending;
        }
        if stream.defers_next_read.replace(false) {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let filled_before = buf.filled().len();
        if !stream.take_read_ahead(buf) {
            let result = stream.poll_socket(|socket| socket.poll_read(cx, buf));
            if result.is_pending() {
                stream.requests_since_wait.set(0);
            }
            ready!(result)?;
        }
        stream.record_read(&buf.filled()[filled_before..], buf.remaining() == 0);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ClientStreamIo {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        let result = self.0.poll_socket(|socket| socket.poll_write(cx, data));
        self.0.is_responding.set(true);
        if result.is_ready() {
            self.0.last_written_at.set(Instant::now());
        }
        result
    }

    // hyper flushes once it has written all available data.
    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = self.0.poll_socket(|socket| socket.poll_flush(cx));
        if result.is_ready() {
            self.0.record_flushed();
        }
        result
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.poll_socket(|socket| socket.poll_shutdown(cx))
    }
}
