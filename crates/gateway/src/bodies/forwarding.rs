//! Bodies: those that are short are held whole, those past 64 KiB are passed on as they come. Whoever takes
//! them slowly slows down whoever gives them, and what is held of them meanwhile is bounded over all of them.

use crate::bodies::size::MAX_BUFFERED_BODY_BYTES;
use crate::servers::connection::ServerConnection;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::{Cell, RefCell};
use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{sleep, Instant, Sleep};

/// How much of a body is handed to hyper at a time.
const PIECE: usize = 16 << 10;
/// A server that gives nothing more of its answer for so long will not, nor will a client of its body.
const STALL_MOST: Duration = Duration::from_secs(15);

/// Why a body cannot be passed on to its end.
#[derive(Debug)]
pub enum BodyError {
    /// It broke off.
    Broken(hyper::Error),
    /// Nothing more came of it.
    Stalled,
    /// It went on to an earlier attempt.
    Spent,
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BodyError::Broken(e) => write!(f, "the body broke off: {e}"),
            BodyError::Stalled => write!(f, "the body stalled"),
            BodyError::Spent => write!(f, "the body went on to an earlier attempt"),
        }
    }
}

impl std::error::Error for BodyError {}

/// Reads a body until it ends or is past the length up to which bodies are held: what came, and what is still
/// to come of a longer one.
pub async fn begin(mut body: Incoming) -> Result<(Bytes, Option<Incoming>), hyper::Error> {
    let mut head =
        BytesMut::with_capacity(body.size_hint().lower().min(MAX_BUFFERED_BODY_BYTES as u64) as usize);
    while let Some(frame) = body.frame().await {
        if let Ok(part) = frame?.into_data() {
            head.extend_from_slice(&part);
        }
        if head.len() > MAX_BUFFERED_BODY_BYTES {
            return Ok((head.freeze(), Some(body)));
        }
    }
    Ok((head.freeze(), None))
}

/// The body of a client's request, of which a long one can go on only once.
pub struct Upload {
    head: Bytes,
    /// What is still to come, until an attempt has taken some of it.
    rest: RefCell<Option<Incoming>>,
    /// Its whole length, where that is known.
    length: Option<u64>,
    state: Cell<UploadState>,
    /// What is done once all of a long one has gone on.
    on_forwarded: RefCell<Option<Box<dyn FnOnce()>>>,
    _body_memory: Option<OwnedSemaphorePermit>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum UploadState {
    /// All that came is at hand.
    AtHand,
    /// Some of it has gone on and is at hand no more.
    Passing,
    /// All of it has gone on.
    Passed,
    /// Its client broke it off, or gave no more of it.
    Broken,
}

impl Upload {
    /// What [`begin`] has read of a body, and the room that is kept for it.
    pub fn new(
        head: Bytes,
        rest: Option<Incoming>,
        length: Option<u64>,
        room: Option<OwnedSemaphorePermit>,
    ) -> Upload {
        let length = if rest.is_some() { length } else { Some(head.len() as u64) };
        let (rest, state) = (RefCell::new(rest), Cell::new(UploadState::AtHand));
        Upload { head, rest, length, state, on_forwarded: RefCell::default(), _body_memory: room }
    }

    /// No body.
    pub fn none() -> Upload {
        Upload::new(Bytes::new(), None, None, None)
    }

    /// Its length, where that is known.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// Whether a further attempt could not be given all of it.
    pub fn is_consumed(&self) -> bool {
        self.state.get() != UploadState::AtHand
    }

    /// Whether the client broke it off.
    pub fn is_broken(&self) -> bool {
        self.state.get() == UploadState::Broken
    }

    /// What to do once all of it has gone on; whether there is anything to wait for.
    pub fn on_forwarded(&self, then: impl FnOnce() + 'static) -> bool {
        let long = self.rest.borrow().is_some();
        if long {
            self.on_forwarded.replace(Some(Box::new(then)));
        }
        long
    }

    /// Whether part of it is still to come.
    pub fn is_incomplete(&self) -> bool {
        self.on_forwarded.borrow().is_some() && self.state.get() != UploadState::Broken
    }

    /// Whether nothing more is to come of it.
    pub fn is_read_to_end(&self) -> bool {
        self.rest.borrow().is_none() && matches!(self.state.get(), UploadState::AtHand | UploadState::Passed)
    }
}

/// An upload on its way over one connection.
pub struct RequestBody {
    upload: Rc<Upload>,
    head: Bytes,
    rest: Option<Incoming>,
    connection: Rc<ServerConnection>,
    stall: Option<Pin<Box<Sleep>>>,
}

impl RequestBody {
    /// The body of one attempt.
    pub fn new(upload: &Rc<Upload>, link: Rc<ServerConnection>) -> RequestBody {
        // Only one attempt is out at a time, so that the rest is here unless some of it has gone on.
        let rest = upload.rest.borrow_mut().take();
        let stall = rest.is_some().then(|| Box::pin(sleep(STALL_MOST)));
        RequestBody { upload: upload.clone(), head: upload.head.clone(), rest, connection: link, stall }
    }

    /// All of it has been handed on.
    fn end(&mut self) {
        self.rest = None;
        self.connection.body_ended();
        if self.upload.state.replace(UploadState::Passed) != UploadState::Passed {
            let passed = self.upload.on_forwarded.borrow_mut().take();
            passed.into_iter().for_each(|then| then());
        }
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        if !self.upload.is_consumed() {
            self.upload.rest.replace(self.rest.take());
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
        if !self.head.is_empty() {
            return Poll::Ready(Some(Ok(Frame::data(std::mem::take(&mut self.head)))));
        }
        let this = &mut *self;
        let state = &this.upload.state;
        loop {
            let Some(rest) = this.rest.as_mut() else {
                this.connection.body_ended();
                return Poll::Ready(this.upload.is_consumed().then_some(Err(BodyError::Spent)));
            };
            let frame = match (Pin::new(&mut *rest).poll_frame(cx), &mut this.stall) {
                (Poll::Ready(frame), _) => frame.transpose().map_err(BodyError::Broken),
                (Poll::Pending, Some(stall)) => {
                    ready!(stall.as_mut().poll(cx));
                    Err(BodyError::Stalled)
                }
                (Poll::Pending, None) => return Poll::Pending,
            };
            if let Some(stall) = &mut this.stall {
                stall.as_mut().reset(Instant::now() + STALL_MOST);
            }
            let over = rest.is_end_stream();
            return Poll::Ready(match frame.map(|frame| frame.map(Frame::into_data)) {
                Ok(Some(Ok(data))) => {
                    state.set(UploadState::Passing);
                    // hyper asks no further once it has as much as was announced.
                    if over {
                        this.end();
                    }
                    Some(Ok(Frame::data(data)))
                }
                // Trailers are free, and not passed on.
                Ok(Some(Err(_))) => continue,
                Ok(None) => {
                    this.end();
                    None
                }
                Err(cut) => {
                    state.set(UploadState::Broken);
                    Some(Err(cut))
                }
            });
        }
    }

    fn is_end_stream(&self) -> bool {
        self.head.is_empty() && self.rest.is_none() && self.upload.length == Some(0)
    }

    fn size_hint(&self) -> SizeHint {
        self.upload.length.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

/// The body of an answer.
pub enum ResponseContent {
    /// PendingRequest whole.
    Buffered(Bytes),
    /// Passed on as it comes.
    Forwarded(Box<Download>),
}

/// An answer that is passed on while its server gives it. Dropped before its end, it ends its connection.
pub struct Download {
    head: Bytes,
    rest: Incoming,
    connection: Rc<ServerConnection>,
    /// Takes the connection back, once all has come.
    on_complete: Option<Box<dyn FnOnce()>>,
    stall: Pin<Box<Sleep>>,
    _body_memory: OwnedSemaphorePermit,
}

impl Download {
    /// What has come of an answer, what is still to come, over which connection, and what becomes of that.
    pub fn new(
        (head, rest): (Bytes, Incoming),
        link: Rc<ServerConnection>,
        done: Box<dyn FnOnce()>,
        room: OwnedSemaphorePermit,
    ) -> Box<Download> {
        let stall = Box::pin(sleep(STALL_MOST));
        Box::new(Download {
            head,
            rest,
            connection: link,
            on_complete: Some(done),
            stall,
            _body_memory: room,
        })
    }
}

impl Drop for Download {
    fn drop(&mut self) {
        if self.on_complete.is_some() {
            self.connection.close();
        }
    }
}

impl ResponseContent {
    /// The next piece of it, or its end.
    pub fn poll_piece(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        match self {
            ResponseContent::Buffered(data) => {
                let piece = data.len().min(PIECE);
                Poll::Ready((piece > 0).then(|| Ok(data.split_to(piece))))
            }
            ResponseContent::Forwarded(passing) => passing.poll_piece(cx),
        }
    }

    /// Whether nothing is left of it.
    pub fn is_over(&self) -> bool {
        match self {
            ResponseContent::Buffered(data) => data.is_empty(),
            ResponseContent::Forwarded(passing) => passing.on_complete.is_none(),
        }
    }

    /// How long what is left of it is, as far as that is known.
    pub fn size_hint(&self) -> SizeHint {
        match self {
            ResponseContent::Buffered(data) => SizeHint::with_exact(data.len() as u64),
            ResponseContent::Forwarded(passing) => {
                let rest = passing.rest.size_hint().exact();
                rest.map_or_else(SizeHint::default, |n| SizeHint::with_exact(n + passing.head.len() as u64))
            }
        }
    }
}

impl Download {
    fn poll_piece(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        if !self.head.is_empty() {
            let piece = self.head.len().min(PIECE);
            return Poll::Ready(Some(Ok(self.head.split_to(piece))));
        }
        loop {
            let frame = match Pin::new(&mut self.rest).poll_frame(cx) {
                Poll::Ready(frame) => frame,
                Poll::Pending => {
                    ready!(self.stall.as_mut().poll(cx));
                    return Poll::Ready(Some(Err(BodyError::Stalled)));
                }
            };
            self.stall.as_mut().reset(Instant::now() + STALL_MOST);
            let frame = match frame.transpose() {
                Ok(frame) => frame,
                Err(e) => return Poll::Ready(Some(Err(BodyError::Broken(e)))),
            };
            // hyper asks no further once it has as much as was announced.
            let done = self.on_complete.take_if(|_| frame.is_none() || self.rest.is_end_stream());
            done.into_iter().for_each(|done| done());
            match frame.map(Frame::into_data) {
                Some(Ok(data)) => return Poll::Ready(Some(Ok(data))),
                Some(Err(_)) => continue,
                None => return Poll::Ready(None),
            }
        }
    }
}
