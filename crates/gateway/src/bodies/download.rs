//! The body of a response on its way to the client.

use crate::bodies::error::BodyError;
use crate::bodies::stall::StallLimitedBody;
use crate::servers::connection::ServerConnection;
use bytes::Bytes;
use hyper::body::{Frame, Incoming, SizeHint};
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::sync::OwnedSemaphorePermit;

/// Largest part of a buffered body that hyper gets at a time: it would copy all of a longer one and keep its
/// buffer.
const MAX_CHUNK_BYTES: usize = 16 << 10;

/// The body of a response.
pub enum ResponseContent {
    /// Read completely.
    Buffered(Bytes),
    /// Forwarded as it arrives.
    Forwarded(Box<Download>),
}

impl ResponseContent {
    /// The next part of the body; `None` at its end.
    pub fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        match self {
            ResponseContent::Buffered(data) if data.is_empty() => Poll::Ready(None),
            ResponseContent::Buffered(data) => Poll::Ready(Some(Ok(split_chunk(data)))),
            ResponseContent::Forwarded(download) => download.poll_chunk(cx),
        }
    }

    /// Whether nothing of the body is left.
    pub fn is_complete(&self) -> bool {
        match self {
            ResponseContent::Buffered(data) => data.is_empty(),
            ResponseContent::Forwarded(download) => download.on_complete.is_none(),
        }
    }

    /// The length of what is left of the body, where it is known.
    pub fn size_hint(&self) -> SizeHint {
        match self {
            ResponseContent::Buffered(data) => SizeHint::with_exact(data.len() as u64),
            ResponseContent::Forwarded(download) => download.size_hint(),
        }
    }
}

/// A response's body that is forwarded while its server sends it. Dropped before its end, it closes the server's
/// connection.
pub struct Download {
    /// What was read before forwarding began.
    buffered: Bytes,
    /// What the server is still sending.
    remainder: StallLimitedBody,
    /// The connection on which it arrives.
    connection: Rc<ServerConnection>,
    /// Returns the connection to its pool once the body is complete; `None` from then on.
    on_complete: Option<Box<dyn FnOnce()>>,
    /// The body's part of the memory for forwarding.
    _body_memory: OwnedSemaphorePermit,
}

impl Download {
    /// Forwards the buffered beginning of a body and what follows it on its connection. `on_complete` is called
    /// once all of it has arrived.
    pub fn new(
        buffered: Bytes,
        remainder: Incoming,
        connection: Rc<ServerConnection>,
        on_complete: Box<dyn FnOnce()>,
        body_memory: OwnedSemaphorePermit,
    ) -> Box<Download> {
        Box::new(Download {
            buffered,
            remainder: StallLimitedBody::new(remainder),
            connection,
            on_complete: Some(on_complete),
            _body_memory: body_memory,
        })
    }

    /// The next part of the body; `None` at its end.
    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        if !self.buffered.is_empty() {
            return Poll::Ready(Some(Ok(split_chunk(&mut self.buffered))));
        }
        loop {
            let frame = match ready!(self.remainder.poll_frame(cx)) {
                Ok(frame) => frame,
                Err(error) => return Poll::Ready(Some(Err(error))),
            };
            // hyper stops reading at the announced length, so the end is noticed with the last data.
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

    /// Reports that all of the body has arrived, the first time it is called.
    fn complete(&mut self) {
        if let Some(on_complete) = self.on_complete.take() {
            on_complete();
        }
    }

    /// The length of what is left of the body, where it is known.
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

/// Takes the next part off buffered data.
fn split_chunk(data: &mut Bytes) -> Bytes {
    data.split_to(data.len().min(MAX_CHUNK_BYTES))
}
