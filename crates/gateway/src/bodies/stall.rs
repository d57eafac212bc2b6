//! Timeout for bodies whose sender stalls. Only the time during which the sender is waited for counts: a body that
//! its receiver holds back has not stalled.

use crate::bodies::error::BodyError;
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::future::Future;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::time::{sleep, Instant, Sleep};

/// A body that fails if it is waited for and its sender sends no data for the stall timeout.
pub struct StallTimeoutBody {
    body: Incoming,
    /// Maximum time without data from the sender while it is waited for.
    stall_timeout: Duration,
    /// Expires `stall_timeout` after the wait for the sender began.
    stall_timer: Pin<Box<Sleep>>,
    /// Whether the last poll found no data, so that the sender is being waited for.
    awaits_sender: bool,
    /// Time at which the current wait for the sender began, or the last one if there is none.
    wait_began_at: Instant,
    /// Total time of all waits for the sender that have ended.
    waited: Duration,
}

impl StallTimeoutBody {
    /// Wraps a body that nobody waits for yet.
    pub fn new(body: Incoming, stall_timeout: Duration) -> StallTimeoutBody {
        let stall_timer = Box::pin(sleep(stall_timeout));
        StallTimeoutBody {
            body,
            stall_timeout,
            stall_timer,
            awaits_sender: false,
            wait_began_at: Instant::now(),
            waited: Duration::ZERO,
        }
    }

    /// Wraps a body whose sender has sent nothing for some time, which counts as waited for.
    pub fn paused(body: Incoming, stall_timeout: Duration, pause: Duration) -> StallTimeoutBody {
        let left = stall_timeout.saturating_sub(pause);
        StallTimeoutBody {
            stall_timer: Box::pin(sleep(left)),
            awaits_sender: true,
            ..StallTimeoutBody::new(body, stall_timeout)
        }
    }

    /// Changes the maximum time without data from the sender, from the next wait for it on.
    pub fn set_stall_timeout(&mut self, stall_timeout: Duration) {
        self.stall_timeout = stall_timeout;
    }

    /// Returns whether all data that the sender has sent so far has been taken and more is being waited for.
    pub fn awaits_sender(&self) -> bool {
        self.awaits_sender
    }

    /// Ends the wait for the sender until the next poll, because the receiver has gone.
    pub fn stop_waiting(&mut self) {
        if std::mem::replace(&mut self.awaits_sender, false) {
            self.waited += self.wait_began_at.elapsed();
        }
    }

    /// Returns the total time for which the sender has been waited for.
    pub fn waited(&self) -> Duration {
        let current = if self.awaits_sender { self.wait_began_at.elapsed() } else { Duration::ZERO };
        self.waited + current
    }

    /// Polls for the next frame; `None` marks the end of the body.
    pub fn poll_frame(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Frame<Bytes>>, BodyError>> {
        let Poll::Ready(frame) = Pin::new(&mut self.body).poll_frame(cx) else {
            if !std::mem::replace(&mut self.awaits_sender, true) {
                self.wait_began_at = Instant::now();
                self.stall_timer.as_mut().reset(self.wait_began_at + self.stall_timeout);
            }
            ready!(self.stall_timer.as_mut().poll(cx));
            return Poll::Ready(Err(BodyError::Stalled));
        };
        self.stop_waiting();
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
