//! Timers of the decision core and their encoding as the opaque [`TimerId`] that the caller returns.

use crate::api::{RequestId, TimerId};

/// A decoded timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Timer {
    /// The next tick is due.
    Tick,
    /// The deadline of a request has passed.
    RequestDeadline(RequestId),
    /// The time at which a queued request leaves the queue has passed.
    QueueTimeout(RequestId),
}

impl From<Timer> for TimerId {
    /// Encodes a request's timers as twice its id: even for the deadline, odd (plus 1) for the queue timeout.
    fn from(timer: Timer) -> TimerId {
        match timer {
            Timer::Tick => TimerId::TICK,
            Timer::RequestDeadline(id) => TimerId(id.0 << 1),
            Timer::QueueTimeout(id) => TimerId(id.0 << 1 | 1),
        }
    }
}

impl From<TimerId> for Timer {
    fn from(timer: TimerId) -> Timer {
        let request = RequestId(timer.0 >> 1);
        match timer {
            TimerId::TICK => Timer::Tick,
            TimerId(number) if number & 1 == 0 => Timer::RequestDeadline(request),
            TimerId(_) => Timer::QueueTimeout(request),
        }
    }
}
