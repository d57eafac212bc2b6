//! Rate limit for log lines that each tell of another request or connection.

use std::cell::Cell;
use std::time::Instant;

/// Number of lines that are admitted at once after a quiet time.
const MAX_BURST_LINES: f64 = 200.0;
/// Number of lines a second that are admitted for long.
const LINES_PER_SECOND: f64 = 20.0;

/// A token bucket of log lines, which counts those that it does not admit.
#[derive(Debug)]
pub struct LineLimiter {
    /// Lines that may be written now.
    available: Cell<f64>,
    refilled_at: Cell<Instant>,
    /// Number of lines suppressed since the last admitted one.
    suppressed: Cell<u64>,
}

impl Default for LineLimiter {
    fn default() -> LineLimiter {
        LineLimiter {
            available: Cell::new(MAX_BURST_LINES),
            refilled_at: Cell::new(Instant::now()),
            suppressed: Cell::new(0),
        }
    }
}

impl LineLimiter {
    /// Returns `None` if a line must be suppressed at `now`, else the number suppressed since the last
    /// admitted line.
    pub fn admit(&self, now: Instant) -> Option<u64> {
        let elapsed = now.saturating_duration_since(self.refilled_at.replace(now));
        let available = self.available.get() + elapsed.as_secs_f64() * LINES_PER_SECOND;
        let available = available.min(MAX_BURST_LINES);
        if available < 1.0 {
            self.available.set(available);
            self.suppressed.set(self.suppressed.get() + 1);
            return None;
        }
        self.available.set(available - 1.0);
        Some(self.suppressed.take())
    }
}

#[cfg(test)]
mod tests;
