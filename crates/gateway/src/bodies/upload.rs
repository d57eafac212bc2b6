//! The body of a client's request as it is sent to servers.

use crate::bodies::buffering::PartiallyReadBody;
use crate::bodies::error::BodyError;
use crate::bodies::stall::StallTimeoutBody;
use crate::servers::connection::ServerConnection;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};
use tokio::sync::OwnedSemaphorePermit;

/// The body of a client's request, which owns the part that the client is still sending. A completely buffered
/// body can be sent any number of times, a streamed one only once.
pub struct Upload {
    /// The part read before the first attempt.
    buffered: Bytes,
    /// The part that the client is still sending; present while `state` is `Unread` or `Forwarding`.
    remainder: RefCell<Option<StallTimeoutBody>>,
    /// The length of the body, where it is known.
    length: Option<u64>,
    state: Cell<UploadState>,
    /// Time at which an attempt last took data of the remainder, or the body was created.
    last_taken_at: Cell<Instant>,
    /// The newest attempt, the only one that may read the remainder.
    newest_attempt: Cell<AttemptNumber>,
    /// Called once all of a streamed body has been forwarded.
    on_forwarded: RefCell<Option<Box<dyn FnOnce()>>>,
    /// Reserved memory for request bodies.
    _body_memory: Option<OwnedSemaphorePermit>,
}

/// Number of an attempt among those that began to send the body.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
struct AttemptNumber(u32);

/// How much of a body has been read and forwarded.
#[derive(Clone, Copy, PartialEq, Eq)]
enum UploadState {
    /// The whole body is buffered.
    Buffered,
    /// The body exceeds the buffer limit, and nothing after the buffered prefix has been read.
    Unread,
    /// This attempt has forwarded part of the remainder, which is no longer available to others.
    Forwarding(AttemptNumber),
    /// This attempt has forwarded the remainder to its end.
    Forwarded(AttemptNumber),
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
        let state = if is_streamed { UploadState::Unread } else { UploadState::Buffered };
        Upload {
            buffered: body.buffered,
            remainder: RefCell::new(body.remainder.map(StallTimeoutBody::new)),
            length,
            state: Cell::new(state),
            last_taken_at: Cell::new(Instant::now()),
            newest_attempt: Cell::default(),
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
        match self.state.get() {
            UploadState::Buffered | UploadState::Unread => false,
            UploadState::Forwarding(_) | UploadState::Forwarded(_) | UploadState::Failed => true,
        }
    }

    /// Returns whether the client ended the body early, or stalled.
    pub fn has_failed(&self) -> bool {
        self.state.get() == UploadState::Failed
    }

    /// Registers a callback for when all of a streamed body has been forwarded. Returns false, and never
    /// calls it, if the body is completely buffered.
    pub fn on_forwarded(&self, callback: impl FnOnce() + 'static) -> bool {
        let is_streamed = self.state.get() != UploadState::Buffered;
        if is_streamed {
            self.on_forwarded.replace(Some(Box::new(callback)));
        }
        is_streamed
    }

    /// Returns whether the body is streamed, has not been forwarded completely, and has not failed.
    pub fn is_incomplete(&self) -> bool {
        self.on_forwarded.borrow().is_some() && !self.has_failed()
    }

    /// Returns whether the client's connection has been read to the end of the body.
    pub fn is_read_to_end(&self) -> bool {
        match self.state.get() {
            UploadState::Buffered | UploadState::Forwarded(_) => true,
            UploadState::Unread | UploadState::Forwarding(_) | UploadState::Failed => false,
        }
    }

    /// Returns whether an attempt has forwarded all that the client has sent so far and awaits the client's next
    /// data. Otherwise the rest of the body is held back by a server, or by the lack of one, and may have reached
    /// this machine completely.
    pub fn awaits_client(&self) -> bool {
        self.remainder.borrow().as_ref().is_some_and(StallTimeoutBody::awaits_sender)
    }

    /// Returns for how long no data has been taken of a body that is held back; `None` while the client's next
    /// data is awaited.
    pub fn held_back_for(&self) -> Option<Duration> {
        (!self.awaits_client()).then(|| self.last_taken_at.get().elapsed())
    }

    /// Begins an attempt. Earlier attempts can no longer read the remainder.
    fn begin_attempt(&self) -> AttemptNumber {
        self.stop_waiting();
        let AttemptNumber(previous) = self.newest_attempt.get();
        let attempt = AttemptNumber(previous + 1);
        self.newest_attempt.set(attempt);
        attempt
    }

    /// Ends an attempt, which no longer awaits the client's data.
    fn end_attempt(&self, attempt: AttemptNumber) {
        if attempt == self.newest_attempt.get() {
            self.stop_waiting();
        }
    }

    /// Records that no attempt awaits the client's data.
    fn stop_waiting(&self) {
        if let Some(remainder) = self.remainder.borrow_mut().as_mut() {
            remainder.stop_waiting();
        }
    }

    /// Polls for the next data after the buffered prefix on behalf of an attempt; `None` marks the end of the
    /// body.
    fn poll_remainder(
        &self,
        attempt: AttemptNumber,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, BodyError>>> {
        if attempt != self.newest_attempt.get() {
            return Poll::Ready(Some(Err(BodyError::AttemptEnded)));
        }
        match self.state.get() {
            UploadState::Buffered => return Poll::Ready(None),
            UploadState::Forwarded(by) if by == attempt => return Poll::Ready(None),
            UploadState::Forwarding(by) if by == attempt => {}
            UploadState::Unread => {}
            UploadState::Forwarding(_) | UploadState::Forwarded(_) | UploadState::Failed => {
                return Poll::Ready(Some(Err(BodyError::AlreadyForwarded)));
            }
        }
        self.poll_client(attempt, cx)
    }

    /// Polls for the next data that the client sends, and records that this attempt forwards it.
    fn poll_client(
        &self,
        attempt: AttemptNumber,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, BodyError>>> {
        let mut guard = self.remainder.borrow_mut();
        let Some(remainder) = guard.as_mut() else {
            return Poll::Ready(Some(Err(BodyError::AlreadyForwarded)));
        };
        let data = loop {
            match ready!(remainder.poll_frame(cx)) {
                // Trailers are not forwarded.
                Ok(Some(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        break Some(Ok(data));
                    }
                }
                Ok(None) => break None,
                Err(error) => break Some(Err(error)),
            }
        };
        self.state.set(match &data {
            // hyper stops reading at the announced length, so the last data frame must be recognized as the
            // end.
            Some(Ok(_)) if !remainder.is_end_stream() => UploadState::Forwarding(attempt),
            Some(Ok(_)) | None => UploadState::Forwarded(attempt),
            Some(Err(_)) => UploadState::Failed,
        });
        if self.state.get() != UploadState::Forwarding(attempt) {
            guard.take();
        }
        self.last_taken_at.set(Instant::now());
        Poll::Ready(data)
    }

    /// Calls the callback for the end of a streamed body, once.
    fn notify_forwarded(&self) {
        let on_forwarded = self.on_forwarded.borrow_mut().take();
        if let Some(on_forwarded) = on_forwarded {
            on_forwarded();
        }
    }
}

/// The body of one attempt, as hyper writes it to a server's connection. hyper may keep it for longer than the
/// attempt lasts; from then on, it ends with an error.
pub struct RequestBody {
    /// The body that this attempt sends.
    upload: Rc<Upload>,
    /// The attempt that this body belongs to.
    attempt: AttemptNumber,
    /// The unsent part of the buffered prefix.
    buffered: Bytes,
    /// The connection to the server, which is open for as long as the attempt lasts.
    connection: Rc<ServerConnection>,
}

impl RequestBody {
    /// Creates the body of an attempt over a connection.
    pub fn new(upload: &Rc<Upload>, connection: Rc<ServerConnection>) -> RequestBody {
        RequestBody {
            upload: upload.clone(),
            attempt: upload.begin_attempt(),
            buffered: upload.buffered.clone(),
            connection,
        }
    }

    /// Polls for the next data of the body; `None` marks its end.
    fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        if self.connection.is_closed() {
            return Poll::Ready(Some(Err(BodyError::AttemptEnded)));
        }
        if !self.buffered.is_empty() {
            return Poll::Ready(Some(Ok(std::mem::take(&mut self.buffered))));
        }
        let data = ready!(self.upload.poll_remainder(self.attempt, cx));
        if self.upload.state.get() == UploadState::Forwarded(self.attempt) {
            self.connection.record_body_end();
            self.upload.notify_forwarded();
        }
        Poll::Ready(data)
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let data = ready!(self.poll_data(cx));
        Poll::Ready(data.map(|data| data.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.upload.length == Some(0)
    }

    fn size_hint(&self) -> SizeHint {
        self.upload.length.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        self.upload.end_attempt(self.attempt);
    }
}
