//! The body of a client's request on its way to servers.

use crate::bodies::buffering::PartlyReadBody;
use crate::bodies::error::BodyError;
use crate::bodies::stall::StallLimitedBody;
use crate::servers::connection::ServerConnection;
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::sync::OwnedSemaphorePermit;

/// The body of a client's request. A buffered one can be sent any number of times, a longer one only once.
pub struct Upload {
    /// What was read before the first attempt.
    buffered: Bytes,
    /// Whether the client had more to send when the beginning was read.
    is_long: bool,
    /// What the client is still sending; an attempt takes it, and returns it if it has forwarded none of it.
    remainder: RefCell<Option<Incoming>>,
    /// The length of the body, where it is known.
    length: Option<u64>,
    /// How far the body has been forwarded.
    state: Cell<UploadState>,
    /// Called once all of a long body has been forwarded.
    on_forwarded: RefCell<Option<Box<dyn FnOnce()>>>,
    /// The body's part of the memory for clients' bodies.
    _body_memory: Option<OwnedSemaphorePermit>,
}

/// How far a body has been forwarded.
#[derive(Clone, Copy, PartialEq, Eq)]
enum UploadState {
    /// All that has arrived is still available.
    Available,
    /// Part of it has been forwarded and is no longer available.
    Forwarding,
    /// All of it has been forwarded.
    Forwarded,
    /// The client broke it off, or stalled.
    Failed,
}

impl Upload {
    /// A body whose beginning has been read, and the memory reserved for it.
    pub fn new(
        body: PartlyReadBody,
        length: Option<u64>,
        body_memory: Option<OwnedSemaphorePermit>,
    ) -> Upload {
        let is_long = body.remainder.is_some();
        let length = if is_long { length } else { Some(body.buffered.len() as u64) };
        Upload {
            buffered: body.buffered,
            is_long,
            remainder: RefCell::new(body.remainder),
            length,
            state: Cell::new(UploadState::Available),
            on_forwarded: RefCell::default(),
            _body_memory: body_memory,
        }
    }

    /// The body of a request without one.
    pub fn empty() -> Upload {
        Upload::new(PartlyReadBody { buffered: Bytes::new(), remainder: None }, None, None)
    }

    /// The length of the body, where it is known.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// Whether another attempt could no longer send all of it.
    pub fn is_consumed(&self) -> bool {
        self.state.get() != UploadState::Available
    }

    /// Whether the client broke it off, or stalled.
    pub fn has_failed(&self) -> bool {
        self.state.get() == UploadState::Failed
    }

    /// Calls back once all of a long body has been forwarded. False, without a call, where the body is buffered.
    pub fn on_forwarded(&self, callback: impl FnOnce() + 'static) -> bool {
        if self.is_long {
            self.on_forwarded.replace(Some(Box::new(callback)));
        }
        self.is_long
    }

    /// Whether part of it has yet to be forwarded, and may be.
    pub fn is_incomplete(&self) -> bool {
        self.on_forwarded.borrow().is_some() && !self.has_failed()
    }

    /// Whether the client's connection has been read to the end of the body.
    pub fn is_read_to_end(&self) -> bool {
        match self.state.get() {
            UploadState::Available => !self.is_long,
            UploadState::Forwarded => true,
            UploadState::Forwarding | UploadState::Failed => false,
        }
    }
}

/// The body of one attempt, as hyper writes it to a server's connection.
pub struct RequestBody {
    /// The request's body, of which this sends all.
    upload: Rc<Upload>,
    /// What is left of the buffered beginning.
    buffered: Bytes,
    /// What the client is still sending, as long as this attempt has it.
    remainder: Option<StallLimitedBody>,
    /// The connection to which it is written.
    connection: Rc<ServerConnection>,
}

impl RequestBody {
    /// The body of an attempt over a connection.
    pub fn new(upload: &Rc<Upload>, connection: Rc<ServerConnection>) -> RequestBody {
        // A request has one attempt at a time, so the remainder is here unless part of it has been forwarded.
        let remainder = upload.remainder.borrow_mut().take();
        RequestBody {
            upload: upload.clone(),
            buffered: upload.buffered.clone(),
            remainder: remainder.map(StallLimitedBody::new),
            connection,
        }
    }

    /// The next data of the part that was not buffered.
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
                    // hyper stops reading at the announced length, so the end is noticed with the last data.
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

    /// Records that all of the remainder has been handed to hyper.
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
            let remainder = self.remainder.take().map(StallLimitedBody::into_inner);
            self.upload.remainder.replace(remainder);
        }
    }
}
