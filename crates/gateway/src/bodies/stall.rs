//! Timeout for bodies whose sender stalls.

use crate::bodies::error::BodyError;
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::future::Future;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::time::{sleep, Instant, Sleep};

/// Maximum time without data from the sender before the body fails.
const STALL_TIMEOUT: Duration = Duration::from_secs(15);

/// A body that fails if its sender sends no data for [`STALL_TIMEOUT`].
pub struct StallTimeoutBody {
    body: Incoming,
    /// Expires [`STALL_TIMEOUT`] after the last frame.
    stall_timer: Pin<Box<Sleep>>,
}

impl StallTimeoutBody {
    /// Wraps a body and starts the timeout.
    pub fn new(body: Incoming) -> StallTimeoutBody {
        StallTimeoutBody { body, stall_timer: Box::pin(sleep(STALL_TIMEOUT)) }
    }

    /// Polls for the next frame; `None` marks the end of the body.
    pub fn poll_frame(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Frame<Bytes>>, BodyError>> {
        let Poll::Ready(frame) = Pin::new(&mut self.body).poll_frame(cx) else {
            ready!(self.stall_timer.as_mut().poll(cx));
            return Poll::Ready(Err(BodyError::Stalled));
        };
        self.stall_timer.as_mut().reset(Instant::now() + STALL_TIMEOUT);
        Poll::Ready(frame.transpose().map_err(BodyError::Read))
    }

    /// Returns whether the body is known to have ended.
    pub fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    /// Returns the length of the unread part, where it is known.
    pub fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
