//! Queue of the process's timers, ordered by due time.

use grebehook_core::{Micros, RequestId, TimerId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Number of timers that is not worth a search for obsolete ones.
const MIN_CLEANUP_LENGTH: usize = 1_024;

/// A timer. Timers that are due at the same time fire in the order of the variants: the decision core must be
/// notified of the end of an attempt before its own deadline timer fires. Otherwise the core would find the
/// attempt in flight and have to assume that the request may have run.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    AttemptTimeout {
        /// Request that the attempt belongs to.
        id: RequestId,
        /// Index of the attempt among the attempts of its request.
        attempt: u32,
    },
    /// Timer of the decision core.
    Decision(TimerId),
    RequestDeadline(RequestId),
    /// Periodic closing of connections to servers that have been idle for too long.
    CloseExpiredServerConnections,
}

/// A timer and its due time, ordered by due time first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledTimer {
    at: Micros,
    timer: Timer,
}

/// The pending timers, ordered by due time.
#[derive(Default)]
pub struct TimerQueue {
    pending: BinaryHeap<Reverse<ScheduledTimer>>,
    /// Time of the next scheduled wake-up; `None` before the first one.
    wake_at: Option<Micros>,
    /// Number of timers that were left when obsolete ones were last removed from all of the queue.
    left_by_cleanup: usize,
}

impl TimerQueue {
    /// Adds a timer. Returns whether the timer is due before the scheduled wake-up.
    pub fn arm(&mut self, at: Micros, timer: Timer) -> bool {
        self.pending.push(Reverse(ScheduledTimer { at, timer }));
        self.wake_at.is_some_and(|wake_at| at < wake_at)
    }

    /// Removes and returns the earliest timer if it is due.
    pub fn pop_due(&mut self, now: Micros) -> Option<Timer> {
        let is_due = self.earliest().is_some_and(|scheduled| scheduled.at <= now);
        let popped = is_due.then(|| self.pending.pop()).flatten();
        popped.map(|Reverse(scheduled)| scheduled.timer)
    }

    /// Removes obsolete timers from the front of the queue, and from all of it once it has doubled. Otherwise nearly
    /// every request would wake the process twice after the request has ended, and the timers of quickly answered
    /// requests would fill the memory.
    pub fn discard_obsolete(&mut self, is_obsolete: impl Fn(Timer) -> bool) {
        if self.pending.len() > 2 * self.left_by_cleanup.max(MIN_CLEANUP_LENGTH) {
            self.pending.retain(|Reverse(scheduled)| !is_obsolete(scheduled.timer));
            self.left_by_cleanup = self.pending.len();
        }
        while self.earliest().is_some_and(|scheduled| is_obsolete(scheduled.timer)) {
            self.pending.pop();
        }
    }

    /// Schedules the next wake-up for the earliest timer, but no later than `latest`. Returns the time of the
    /// wake-up.
    pub fn schedule_wake(&mut self, latest: Micros) -> Micros {
        let wake_at = self.earliest().map_or(latest, |scheduled| scheduled.at.min(latest));
        self.wake_at = Some(wake_at);
        wake_at
    }

    /// Returns the timer that is due next.
    fn earliest(&self) -> Option<ScheduledTimer> {
        self.pending.peek().map(|Reverse(scheduled)| *scheduled)
    }
}

#[cfg(test)]
mod tests;
