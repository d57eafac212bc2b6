//! What falls due, and when.

use grebehook_core::Micros;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What falls due; of several at one time the first listed goes first. The module hears how an attempt ended
/// before its own deadline timer, which would find it open and have to say that it may have run.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DueTimer {
    /// An attempt, by the numbers of its request and its own.
    Attempt(u64, u32),
    /// A timer of the decision core.
    Decision(u64),
    /// The limit of a request.
    RequestLimit(u64),
    /// The look at idle connections.
    RetireIdleConnections,
}

/// All that is to come, by its time.
#[derive(Default)]
pub struct Timers {
    pending: BinaryHeap<Reverse<(Micros, DueTimer)>>,
    /// The time for which the next wake-up is set.
    wake_at: Micros,
}

impl Timers {
    /// One more. Whether the next wake-up comes too late for it.
    pub fn arm(&mut self, at: Micros, due: DueTimer) -> bool {
        self.pending.push(Reverse((at, due)));
        at < self.wake_at
    }

    /// The next that is due at a time, if any is.
    pub fn pop_due(&mut self, now: Micros) -> Option<DueTimer> {
        let is_due = self.pending.peek().is_some_and(|Reverse((at, _))| *at <= now);
        let next = is_due.then(|| self.pending.pop()).flatten();
        next.map(|Reverse((_, due))| due)
    }

    /// Drops the next ones as long as they are spent, so that nearly every request does not wake the gateway twice
    /// more for nothing.
    pub fn skip(&mut self, is_spent: impl Fn(DueTimer) -> bool) {
        while self.pending.peek().is_some_and(|Reverse((_, due))| is_spent(*due)) {
            self.pending.pop();
        }
    }

    /// When the next falls due; the wake-up is set for it from now on.
    pub fn set_wake(&mut self) -> Micros {
        self.wake_at = self.pending.peek().map_or(Micros::MAX, |Reverse((at, _))| *at);
        self.wake_at
    }
}
