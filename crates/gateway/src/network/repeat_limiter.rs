//! Limits how often a repeated log line is written.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// The least time between two lines about the same fault.
pub const REPEAT_INTERVAL: Duration = Duration::from_secs(5);

/// Admits a log line once per [`REPEAT_INTERVAL`], and counts those suppressed in between.
#[derive(Debug, Default)]
pub struct RepeatLimiter {
    /// When the last line was admitted.
    last_admitted_at: Cell<Option<Instant>>,
    /// Lines suppressed since then.
    suppressed: Cell<u64>,
}

impl RepeatLimiter {
    /// Whether to write a line now: if so, how many were suppressed since the last one.
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
