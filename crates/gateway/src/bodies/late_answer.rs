//! The end of an answer that is passed on before it is whole, and late. The client of a long answer waits for as long as
//! its server goes on; a short answer has to be whole half a second after the client's time at the latest.

use crate::bodies::size::MAX_BUFFERED_BODY_BYTES;
use std::cell::Cell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::time::{sleep_until, Instant, Sleep};

/// Time after the client timeout by which a short answer ends. An answer may end half a second late.
const LATE_ANSWER_GRACE: Duration = Duration::from_millis(450);
/// Number of bytes from which on an answer of unknown length counts as a long one. A server that has written less and
/// pauses is far more likely to hang in a short answer.
pub const MIN_LONG_ANSWER_BYTES: usize = 4 << 10;
/// Interval between two checks whether the client's time has begun.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The time until which a client waits, which restarts with the last part of its request's body; `None` while that
/// has not been forwarded.
pub type ClientDeadline = Rc<Cell<Option<std::time::Instant>>>;

/// Returns whether an answer may be a long one, by its length, if that is known, and by what has been received of it. A
/// server that has written nothing but the head may be about to write its first part, whatever its size.
pub fn may_be_long(length: Option<u64>, received: u64) -> bool {
    match length {
        Some(length) => length > MAX_BUFFERED_BODY_BYTES as u64,
        None => received == 0 || received >= MIN_LONG_ANSWER_BYTES as u64,
    }
}

/// Ends a short answer that is late.
pub struct LateAnswerLimit {
    client_deadline: ClientDeadline,
    /// Expires at the next check; `None` once the answer has turned out to be a long one.
    timer: Option<Pin<Box<Sleep>>>,
}

impl LateAnswerLimit {
    /// Creates the limit of an answer.
    pub fn new(client_deadline: ClientDeadline) -> LateAnswerLimit {
        let timer = Box::pin(sleep_until(next_check(&client_deadline)));
        LateAnswerLimit { client_deadline, timer: Some(timer) }
    }

    /// Completes once a short answer has to end. Its task is woken for each check.
    pub fn poll_end(&mut self, may_be_long: bool, cx: &mut Context<'_>) -> Poll<()> {
        while let Some(timer) = &mut self.timer {
            ready!(timer.as_mut().poll(cx));
            let is_late = latest_end(&self.client_deadline).is_some_and(|end| Instant::now() >= end);
            if is_late && !may_be_long {
                return Poll::Ready(());
            }
            if is_late {
                self.timer = None;
            } else {
                timer.as_mut().reset(next_check(&self.client_deadline));
            }
        }
        Poll::Pending
    }
}

/// Returns the time of the next check of an answer.
fn next_check(client_deadline: &ClientDeadline) -> Instant {
    let earliest = Instant::now() + CHECK_INTERVAL;
    latest_end(client_deadline).map_or(earliest, |end| end.max(earliest))
}

/// Returns the time by which a short answer ends; `None` while the client's time has not begun.
fn latest_end(client_deadline: &ClientDeadline) -> Option<Instant> {
    client_deadline.get().map(|deadline| Instant::from(deadline + LATE_ANSWER_GRACE))
}
