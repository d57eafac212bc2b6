//! Recovery from errors of `accept`.

use crate::network::repeat_limiter::RepeatLimiter;
use crate::network::system_error::{is_descriptor_limit, is_exhaustion};
use std::io;
use std::time::{Duration, Instant};
use tracing::warn;

/// Backoff after each error in a row but the first.
pub const REPEATED_ERROR_PAUSE: Duration = Duration::from_millis(20);
/// Backoff after the first error in a row, whose cause may be momentary.
const FIRST_ERROR_PAUSE: Duration = Duration::from_millis(1);
/// Consecutive errors tolerated before a connection is evicted, where a resource of the whole system is
/// exhausted.
const MAX_WAITS_FOR_SYSTEM: u32 = 5;
/// Consecutive errors tolerated before a connection is evicted, where this process is at its descriptor
/// limit.
const MAX_WAITS_FOR_DESCRIPTOR: u32 = 1;
/// Number of consecutive errors of single connections after which one is followed by a backoff.
const MAX_CONNECTION_ERRORS_AT_ONCE: u32 = 32;

/// Steps to take before the next call of `accept`.
pub struct Recovery {
    /// Whether to close a connection to free its descriptor and memory.
    pub evict_connection: bool,
    /// Delay before the next call.
    pub pause: Duration,
}

/// Logs errors of `accept` and decides how to recover from them.
#[derive(Default)]
pub struct AcceptErrors {
    log_limiter: RepeatLimiter,
}

impl AcceptErrors {
    /// Returns how to recover from the last of `consecutive_errors` errors, or `None` to call `accept` again
    /// at once. An error of a single connection or of the network does not concern the connections queued
    /// behind it. While descriptors or memory are exhausted, queued connections wait in the backlog until an
    /// open one ends; if the error lasts, one is evicted.
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
