//! The end of an answer that its server is still writing when the client's time is over. The client of a long answer
//! waits for as long as its server goes on; a short answer has to be whole by then.

use crate::bodies::size::MAX_BUFFERED_BODY_BYTES;
use std::cell::Cell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::time::{sleep_until, Instant, Sleep};

/// Time after the client timeout by which an answer that does not go on ends. An answer may end half a second late.
pub const LATE_ANSWER_GRACE: Duration = Duration::from_millis(450);
/// Longest pause in which a server counts as still writing its answer.
pub const MAX_WRITE_PAUSE: Duration = LATE_ANSWER_GRACE;
/// Rate, in bytes a second, below which an answer that has not become long yet counts as a short one: half of the
/// lowest rate at which peers take long bodies.
const MIN_LONG_ANSWER_RATE: u64 = 32_000;
/// Interval between two checks of a late answer.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The time until which a client waits, which restarts with the last part of its request's body; `None` while that
/// has not been forwarded.
pub type ClientDeadline = Rc<Cell<Option<std::time::Instant>>>;

/// What is known of an answer that is being forwarded before it is whole.
#[derive(Clone, Copy)]
pub struct AnswerProgress {
    /// Length of the body, where the server tells it.
    pub length: Option<u64>,
    /// Number of bytes of the body that the server has sent.
    pub received: u64,
    /// Time for which the server has been waited for since the head of the answer.
    pub waited: Duration,
    /// Time since the server last sent anything.
    pub pause: Duration,
}

impl AnswerProgress {
    /// Returns whether the answer is known to be long.
    fn is_long(&self) -> bool {
        self.length.unwrap_or(self.received) > MAX_BUFFERED_BODY_BYTES as u64
    }

    /// Returns whether a late answer goes on, as a long one whose server is still writing.
    fn goes_on(&self) -> bool {
        let expected = MIN_LONG_ANSWER_RATE * self.waited.as_millis() as u64 / 1_000;
        self.length.is_none() && self.pause < MAX_WRITE_PAUSE && self.received >= expected
    }
}

/// Ends an answer that is late and does not go on.
pub struct LateAnswerLimit {
    client_deadline: ClientDeadline,
    /// Expires at the next check.
    timer: Pin<Box<Sleep>>,
}

impl LateAnswerLimit {
    /// Creates the limit of an answer.
    pub fn new(client_deadline: ClientDeadline) -> LateAnswerLimit {
        let timer = Box::pin(sleep_until(next_check(&client_deadline)));
        LateAnswerLimit { client_deadline, timer }
    }

    /// Completes once the answer has to end. Its task is woken for each check.
    pub fn poll_end(&mut self, progress: AnswerProgress, cx: &mut Context<'_>) -> Poll<()> {
        if progress.is_long() {
            return Poll::Pending;
        }
        loop {
            ready!(self.timer.as_mut().poll(cx));
            let is_late = latest_end(&self.client_deadline).is_some_and(|end| Instant::now() >= end);
            if is_late && !progress.goes_on() {
                return Poll::Ready(());
            }
            self.timer.as_mut().reset(next_check(&self.client_deadline));
        }
    }
}

/// Returns the time of the next check of an answer.
fn next_check(client_deadline: &ClientDeadline) -> Instant {
    let earliest = Instant::now() + CHECK_INTERVAL;
    latest_end(client_deadline).map_or(earliest, |end| end.max(earliest))
}

/// Returns the time by which an answer that does not go on ends; `None` while the client's time has not begun.
fn latest_end(client_deadline: &ClientDeadline) -> Option<Instant> {
    client_deadline.get().map(|deadline| Instant::from(deadline + LATE_ANSWER_GRACE))
}
