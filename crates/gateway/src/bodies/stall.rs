//! A body whose sender must not fall silent.

use crate::bodies::error::BodyError;
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::future::Future;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::time::{sleep, Instant, Sleep};

/// Longest silence of a sender before its body is given up.
const MAX_STALL: Duration = Duration::from_secs(15);

/// A body that fails once its sender has been silent for [`MAX_STALL`].
pub struct StallLimitedBody {
    /// The body as hyper reads it.
    body: Incoming,
    /// Ends [`MAX_STALL`] after the last frame.
    stall_timer: Pin<Box<Sleep>>,
}

impl StallLimitedBody {
    /// Limits the silence of a body's sender from now on.
    pub fn new(body: Incoming) -> StallLimitedBody {
        StallLimitedBody { body, stall_timer: Box::pin(sleep(MAX_STALL)) }
    }

    /// The body, without the limit.
    pub fn into_inner(self) -> Incoming {
        self.body
    }

    /// The next frame; `None` at the end of the body.
    pub fn poll_frame(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Frame<Bytes>>, BodyError>> {
        let Poll::Ready(frame) = Pin::new(&mut self.body).poll_frame(cx) else {
            ready!(self.stall_timer.as_mut().poll(cx));
            return Poll::Ready(Err(BodyError::Stalled));
        };
        self.stall_timer.as_mut().reset(Instant::now() + MAX_STALL);
        Poll::Ready(frame.transpose().map_err(BodyError::Read))
    }

    /// Whether the body is known to have ended.
    pub fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    /// The length of what is still to be read, where it is known.
    pub fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
