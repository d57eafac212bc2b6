//! Keeps a fault that repeats from filling the log.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// A fault that repeats is worth a line so often.
pub const REPEAT_INTERVAL: Duration = Duration::from_secs(5);

/// Lets a line about a fault through now and then, and counts the ones in between.
#[derive(Debug, Default)]
pub struct RepeatLimiter {
    last: Cell<Option<Instant>>,
    suppressed: Cell<u64>,
}

impl RepeatLimiter {
    /// Whether to write a line now: if so, how many were left out since the last one.
    pub fn admit(&self, now: Instant) -> Option<u64> {
        let due = self.last.get().is_none_or(|last| now.saturating_duration_since(last) >= REPEAT_INTERVAL);
        if !due {
            self.suppressed.set(self.suppressed.get() + 1);
            return None;
        }
        self.last.set(Some(now));
        Some(self.suppressed.take())
    }
}
