//! The body of a response as it is sent to the client.

use crate::bodies::error::BodyError;
use crate::bodies::stall::StallTimeoutBody;
use crate::servers::connection::ServerConnection;
use bytes::Bytes;
use hyper::body::{Frame, Incoming, SizeHint};
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::sync::OwnedSemaphorePermit;

/// Maximum size of a chunk of a buffered body that is passed to hyper, which would copy all of a longer one
/// and keep the buffer for it.
const MAX_CHUNK_BYTES: usize = 16 << 10;

/// Maximum time without data from a server.
const STALL_TIMEOUT: Duration = Duration::from_secs(15);

/// The body of a response.
pub enum ResponseContent {
    Buffered(Bytes),
    /// Forwarded as it arrives.
    Streamed(Box<Download>),
}

impl ResponseContent {
    /// Polls for the next chunk of the body; `None` marks the end.
    pub fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        match self {
            ResponseContent::Buffered(data) if data.is_empty() => Poll::Ready(None),
            ResponseContent::Buffered(data) => Poll::Ready(Some(Ok(split_chunk(data)))),
            ResponseContent::Streamed(download) => download.poll_chunk(cx),
        }
    }

    /// Returns whether no part of the body is left.
    pub fn is_complete(&self) -> bool {
        match self {
            ResponseContent::Buffered(data) => data.is_empty(),
            ResponseContent::Streamed(download) => download.on_complete.is_none(),
        }
    }

    /// Returns the length of the rest of the body, where it is known.
    pub fn size_hint(&self) -> SizeHint {
        match self {
            ResponseContent::Buffered(data) => SizeHint::with_exact(data.len() as u64),
            ResponseContent::Streamed(download) => download.size_hint(),
        }
    }
}

/// A streamed response body. If it is dropped before its end, the connection to the server is closed.
pub struct Download {
    /// The unsent part of the prefix that was read before streaming began.
    buffered: Bytes,
    /// The part that the server is still sending.
    remainder: StallTimeoutBody,
    /// The connection to the server.
    connection: Rc<ServerConnection>,
    /// Returns the connection to its pool once the body is complete; `None` from then on.
    on_complete: Option<Box<dyn FnOnce()>>,
    /// Reserved memory for streaming.
    _body_memory: OwnedSemaphorePermit,
}

impl Download {
    /// Creates a body from its buffered prefix and the remainder on the connection. `on_complete` is called
    /// once all of the body has arrived.
    pub fn new(
        buffered: Bytes,
        remainder: Incoming,
        connection: Rc<ServerConnection>,
        on_complete: Box<dyn FnOnce()>,
        body_memory: OwnedSemaphorePermit,
    ) -> Box<Download> {
        Box::new(Download {
            buffered,
            remainder: StallTimeoutBody::new(remainder, STALL_TIMEOUT),
            connection,
            on_complete: Some(on_complete),
            _body_memory: body_memory,
        })
    }

    /// Polls for the next chunk of the body; `None` marks the end.
    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        if !self.buffered.is_empty() {
            return Poll::Ready(Some(Ok(split_chunk(&mut self.buffered))));
        }
        loop {
            let frame = match ready!(self.remainder.poll_frame(cx)) {
                Ok(frame) => frame,
                Err(error) => return Poll::Ready(Some(Err(error))),
            };
            // hyper stops reading at the announced length, so the last data frame must be recognized as the
            // end.
            if frame.is_none() || self.remainder.is_end_stream() {
                self.complete();
            }
            match frame.map(Frame::into_data) {
                Some(Ok(data)) => return Poll::Ready(Some(Ok(data))),
                // Trailers are not forwarded.
                Some(Err(_)) => {}
                None => return Poll::Ready(None),
            }
        }
    }

    /// Calls `on_complete` when the whole body has arrived; further calls have no effect.
    fn complete(&mut self) {
        if let Some(on_complete) = self.on_complete.take() {
            on_complete();
        }
    }

    /// Returns the length of the rest of the body, where it is known.
    fn size_hint(&self) -> SizeHint {
        match self.remainder.size_hint().exact() {
            Some(remaining) => SizeHint::with_exact(remaining + self.buffered.len() as u64),
            None => SizeHint::default(),
        }
    }
}

impl Drop for Download {
    fn drop(&mut self) {
        if self.on_complete.is_some() {
            self.connection.close();
        }
    }
}

/// Splits the next chunk off buffered data.
fn split_chunk(data: &mut Bytes) -> Bytes {
    data.split_to(data.len().min(MAX_CHUNK_BYTES))
}
