//! How to go on after `accept` failed.

use crate::network::repeat_limiter::RepeatLimiter;
use crate::network::system_error::{is_descriptor_limit, is_exhaustion};
use std::io;
use std::time::{Duration, Instant};
use tracing::warn;

/// The pause after a repeated error.
pub const REPEATED_ERROR_PAUSE: Duration = Duration::from_millis(20);
/// The pause after a first error, whose cause may be momentary.
const FIRST_ERROR_PAUSE: Duration = Duration::from_millis(1);
/// Consecutive errors before a connection is closed, where the whole system lacks a resource.
const MAX_WAITS_FOR_SYSTEM: u32 = 5;
/// The same where this process has reached its limit of descriptors.
const MAX_WAITS_FOR_DESCRIPTOR: u32 = 1;
/// Consecutive errors of single connections that are ignored without a pause.
const MAX_CONNECTION_ERRORS_AT_ONCE: u32 = 32;

/// What to do before `accept` is called again.
pub struct Recovery {
    /// Whether to close a connection to free its descriptor and memory.
    pub evict_connection: bool,
    /// How long to wait.
    pub pause: Duration,
}

/// Evaluates errors of `accept`, and logs them.
#[derive(Default)]
pub struct AcceptErrors {
    /// Limits the log lines.
    log_limiter: RepeatLimiter,
}

impl AcceptErrors {
    /// What to do after an error, the last of this many in a row; `None` to accept again at once. An error of one
    /// connection or of the network says nothing of the connections behind it. Where descriptors or memory are
    /// exhausted, those wait in the backlog until a connection ends, or is closed if the error lasts.
    pub fn recovery(&self, error: &io::Error, consecutive_errors: u32) -> Option<Recovery> {
        let exhausted = is_exhaustion(error);
        if !exhausted && !consecutive_errors.is_multiple_of(MAX_CONNECTION_ERRORS_AT_ONCE) {
            return None;
        }
        if let Some(suppressed) = self.log_limiter.admit(Instant::now()) {
            warn!(%error, suppressed, "could not accept a client's connection; trying again");
        }
        let max_waits =
            if is_descriptor_limit(error) { MAX_WAITS_FOR_DESCRIPTOR } else { MAX_WAITS_FOR_SYSTEM };
        let pause = if consecutive_errors > 1 { REPEATED_ERROR_PAUSE } else { FIRST_ERROR_PAUSE };
        Some(Recovery { evict_connection: exhausted && consecutive_errors > max_waits, pause })
    }
}
