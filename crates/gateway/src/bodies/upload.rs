//! The body of a client's request as it is sent to servers.

use crate::bodies::buffering::PartiallyReadBody;
use crate::bodies::error::BodyError;
use crate::bodies::stall::StallTimeoutBody;
use crate::servers::connection::ServerConnection;
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::sync::OwnedSemaphorePermit;

/// The body of a client's request. A completely buffered body can be sent any number of times, a streamed one
/// only once.
pub struct Upload {
    /// The part read before the first attempt.
    buffered: Bytes,
    /// Whether the body exceeds the buffer limit, so that the rest of it is forwarded as it arrives.
    is_streamed: bool,
    /// The part that the client is still sending. An attempt takes it, and returns it if it has forwarded
    /// none of it.
    remainder: RefCell<Option<Incoming>>,
    /// The length of the body, where it is known.
    length: Option<u64>,
    state: Cell<UploadState>,
    /// Called once all of a streamed body has been forwarded.
    on_forwarded: RefCell<Option<Box<dyn FnOnce()>>>,
    /// Reserved memory for request bodies.
    _body_memory: Option<OwnedSemaphorePermit>,
}

/// How much of a body has been forwarded.
#[derive(Clone, Copy, PartialEq, Eq)]
enum UploadState {
    /// All data received so far is still available.
    Available,
    /// Part of the body has been forwarded and is no longer available.
    Forwarding,
    /// The whole body has been forwarded.
    Forwarded,
    /// The client ended the body early, or stalled.
    Failed,
}

impl Upload {
    /// Creates a body from its buffered prefix and the memory reserved for it.
    pub fn new(
        body: PartiallyReadBody,
        length: Option<u64>,
        body_memory: Option<OwnedSemaphorePermit>,
    ) -> Upload {
        let is_streamed = body.remainder.is_some();
        let length = if is_streamed { length } else { Some(body.buffered.len() as u64) };
        Upload {
            buffered: body.buffered,
            is_streamed,
            remainder: RefCell::new(body.remainder),
            length,
            state: Cell::new(UploadState::Available),
            on_forwarded: RefCell::default(),
            _body_memory: body_memory,
        }
    }

    /// Creates the body of a request that has none.
    pub fn empty() -> Upload {
        Upload::new(PartiallyReadBody { buffered: Bytes::new(), remainder: None }, None, None)
    }

    /// Returns the length of the body, where it is known.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// Returns whether the body can no longer be sent completely by a further attempt.
    pub fn is_consumed(&self) -> bool {
        self.state.get() != UploadState::Available
    }

    /// Returns whether the client ended the body early, or stalled.
    pub fn has_failed(&self) -> bool {
        self.state.get() == UploadState::Failed
    }

    /// Registers a callback for when all of a streamed body has been forwarded. Returns false, and never
    /// calls it, if the body is completely buffered.
    pub fn on_forwarded(&self, callback: impl FnOnce() + 'static) -> bool {
        if self.is_streamed {
            self.on_forwarded.replace(Some(Box::new(callback)));
        }
        self.is_streamed
    }

    /// Returns whether the body is streamed, has not been forwarded completely, and has not failed.
    pub fn is_incomplete(&self) -> bool {
        self.on_forwarded.borrow().is_some() && !self.has_failed()
    }

    /// Returns whether the client's connection has been read to the end of the body.
    pub fn is_read_to_end(&self) -> bool {
        match self.state.get() {
            UploadState::Available => !self.is_streamed,
            UploadState::Forwarded => true,
            UploadState::Forwarding | UploadState::Failed => false,
        }
    }
}

/// The body of one attempt, as hyper writes it to a server's connection.
pub struct RequestBody {
    /// The body that this attempt sends.
    upload: Rc<Upload>,
    /// The unsent part of the buffered prefix.
    buffered: Bytes,
    /// The part that the client is still sending, while this attempt holds it.
    remainder: Option<StallTimeoutBody>,
    /// The connection to the server.
    connection: Rc<ServerConnection>,
}

impl RequestBody {
    /// Creates the body of an attempt over a connection.
    pub fn new(upload: &Rc<Upload>, connection: Rc<ServerConnection>) -> RequestBody {
        // A request has one attempt at a time, so the remainder is present unless part of it has been
        // forwarded.
        let remainder = upload.remainder.borrow_mut().take();
        RequestBody {
            upload: upload.clone(),
            buffered: upload.buffered.clone(),
            remainder: remainder.map(StallTimeoutBody::new),
            connection,
        }
    }

    /// Polls for the next data of the part that was not buffered.
    fn poll_remainder(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        loop {
            let Some(remainder) = &mut self.remainder else {
                self.connection.record_body_end();
                let is_consumed = self.upload.is_consumed();
                return Poll::Ready(is_consumed.then_some(Err(BodyError::AlreadyForwarded)));
            };
            match ready!(remainder.poll_frame(cx)) {
                Ok(Some(frame)) => {
                    let is_last = remainder.is_end_stream();
                    // Trailers are not forwarded.
                    let Ok(data) = frame.into_data() else { continue };
                    self.upload.state.set(UploadState::Forwarding);
                    // hyper stops reading at the announced length, so the last data frame must be recognized
                    // as the end.
                    if is_last {
                        self.complete();
                    }
                    return Poll::Ready(Some(Ok(data)));
                }
                Ok(None) => {
                    self.complete();
                    return Poll::Ready(None);
                }
                Err(error) => {
                    self.upload.state.set(UploadState::Failed);
                    return Poll::Ready(Some(Err(error)));
                }
            }
        }
    }

    /// Records that the whole remainder has been passed to hyper.
    fn complete(&mut self) {
        self.remainder = None;
        self.connection.record_body_end();
        if self.upload.state.replace(UploadState::Forwarded) == UploadState::Forwarded {
            return;
        }
        let on_forwarded = self.upload.on_forwarded.borrow_mut().take();
        if let Some(on_forwarded) = on_forwarded {
            on_forwarded();
        }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if !self.buffered.is_empty() {
            let buffered = std::mem::take(&mut self.buffered);
            return Poll::Ready(Some(Ok(Frame::data(buffered))));
        }
        let data = ready!(self.poll_remainder(cx));
        Poll::Ready(data.map(|data| data.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.buffered.is_empty() && self.remainder.is_none() && self.upload.length == Some(0)
    }

    fn size_hint(&self) -> SizeHint {
        self.upload.length.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        if !self.upload.is_consumed() {
            let remainder = self.remainder.take().map(StallTimeoutBody::into_inner);
            self.upload.remainder.replace(remainder);
        }
    }
}
