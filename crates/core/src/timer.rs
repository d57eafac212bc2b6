//! What the decision core's timers are for, and their one conversion to the number that the host hands back.

use crate::api::{RequestId, TimerId};

/// The purpose of a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Timer {
    /// The next tick.
    Tick,
    /// A request must have its final answer.
    RequestDeadline(RequestId),
    /// A queued request waits no longer.
    QueueTimeout(RequestId),
}

impl From<Timer> for TimerId {
    /// A request's timers bear its number twice: even at its deadline, odd at the end of its queueing.
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
