//! Rate limit for repeated log lines.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// Minimum interval between two log lines about the same fault.
pub const REPEAT_INTERVAL: Duration = Duration::from_secs(5);

/// Admits one log line per [`REPEAT_INTERVAL`] and counts the lines suppressed in between.
#[derive(Debug, Default)]
pub struct RepeatLimiter {
    last_admitted_at: Cell<Option<Instant>>,
    /// Number of lines suppressed since the last admitted one.
    suppressed: Cell<u64>,
}

impl RepeatLimiter {
    /// Returns `None` if a line must be suppressed at `now`, else the number suppressed since the last
    /// admitted line.
    pub fn admit(&self, now: Instant) -> Option<u64> {
        let is_due = self
            .last_admitted_at
            .get()
            .is_none_or(|last| now.saturating_duration_since(last) >= REPEAT_INTERVAL);
        if !is_due {
            self.suppressed.set(self.suppressed.get() + 1);
            return None;
        }
        self.last_admitted_at.set(Some(now));
        Some(self.suppressed.take())
    }
}
