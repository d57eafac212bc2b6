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

/// The number of the tick's timer.
const TICK: u64 = u64::MAX;

impl From<Timer> for TimerId {
    /// A request's timers bear its number twice: even at its deadline, odd at the end of its queueing.
    fn from(timer: Timer) -> TimerId {
        TimerId(match timer {
            Timer::Tick => TICK,
            Timer::RequestDeadline(id) => id.0 << 1,
            Timer::QueueTimeout(id) => id.0 << 1 | 1,
        })
    }
}

impl From<TimerId> for Timer {
    fn from(timer: TimerId) -> Timer {
        let request = RequestId(timer.0 >> 1);
        match timer.0 {
            TICK => Timer::Tick,
            number if number & 1 == 0 => Timer::RequestDeadline(request),
            _ => Timer::QueueTimeout(request),
        }
    }
}
