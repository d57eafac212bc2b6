//! The timers of the process, ordered by the time at which they fall due.

use grebehook_core::{Micros, RequestId, TimerId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What falls due. Of several timers at one time the variant listed first fires first: the decision core must be
/// notified of the end of an attempt before its own deadline timer fires, which would find the attempt in flight and
/// have to assume that it may have run.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DueTimer {
    /// The timeout of an attempt.
    AttemptTimeout {
        /// Its request.
        id: RequestId,
        /// The attempt.
        attempt: u32,
    },
    /// A timer of the decision core.
    Decision(TimerId),
    /// The deadline of a request.
    RequestDeadline(RequestId),
    /// The periodic closing of connections that have been idle for too long.
    CloseExpiredConnections,
}

/// A timer with its time; ordered by time first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledTimer {
    /// When it falls due.
    at: Micros,
    /// What falls due.
    timer: DueTimer,
}

/// All pending timers, the earliest first.
#[derive(Default)]
pub struct Timers {
    /// The timers that have not fired.
    pending: BinaryHeap<Reverse<ScheduledTimer>>,
    /// The time for which the next wake-up is scheduled; `None` before the first one.
    wake_at: Option<Micros>,
}

impl Timers {
    /// Adds a timer. Returns whether the next wake-up is too late for it.
    pub fn arm(&mut self, at: Micros, timer: DueTimer) -> bool {
        self.pending.push(Reverse(ScheduledTimer { at, timer }));
        self.wake_at.is_some_and(|wake_at| at < wake_at)
    }

    /// Removes the earliest timer if it is due.
    pub fn pop_due(&mut self, now: Micros) -> Option<DueTimer> {
        let is_due = self.earliest().is_some_and(|scheduled| scheduled.at <= now);
        let popped = is_due.then(|| self.pending.pop()).flatten();
        popped.map(|Reverse(scheduled)| scheduled.timer)
    }

    /// Removes the earliest timers for as long as they are obsolete. Otherwise nearly every request would wake the
    /// process twice more after its end.
    pub fn discard_obsolete(&mut self, is_obsolete: impl Fn(DueTimer) -> bool) {
        while self.earliest().is_some_and(|scheduled| is_obsolete(scheduled.timer)) {
            self.pending.pop();
        }
    }

    /// Schedules the next wake-up for the earliest timer, but no later than a given time. Returns its time.
    pub fn schedule_wake(&mut self, latest: Micros) -> Micros {
        let wake_at = self.earliest().map_or(latest, |scheduled| scheduled.at.min(latest));
        self.wake_at = Some(wake_at);
        wake_at
    }

    /// The timer that falls due next.
    fn earliest(&self) -> Option<ScheduledTimer> {
        self.pending.peek().map(|Reverse(scheduled)| *scheduled)
    }
}
