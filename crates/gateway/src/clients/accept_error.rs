//! Recovery from errors of `accept`.

use crate::network::repeat_limiter::RepeatLimiter;
use crate::network::system_error::{is_descriptor_limit, is_resource_exhaustion};
use std::io;
use std::time::{Duration, Instant};
use tracing::warn;

/// Backoff after each consecutive error except the first.
pub const REPEATED_ERROR_BACKOFF: Duration = Duration::from_millis(20);
/// Backoff after the first of consecutive errors, whose cause may be momentary.
const FIRST_ERROR_BACKOFF: Duration = Duration::from_millis(1);
/// Consecutive errors tolerated before a connection is evicted, if a resource of the whole system is
/// exhausted.
const MAX_SYSTEM_EXHAUSTION_ERRORS: u32 = 5;
/// Consecutive errors tolerated before a connection is evicted, if this process has reached its descriptor
/// limit.
const MAX_DESCRIPTOR_LIMIT_ERRORS: u32 = 1;
/// Number of consecutive errors of single connections per backoff. After all other such errors, `accept` is
/// called again at once.
const CONNECTION_ERRORS_PER_BACKOFF: u32 = 32;

/// Steps to take before the next call of `accept`.
pub struct AcceptRecovery {
    /// Whether to close a connection to free its descriptor and memory.
    pub evict_connection: bool,
    /// Delay before the next call.
    pub backoff: Duration,
}

/// Logs errors of `accept` and decides how to recover from them.
#[derive(Default)]
pub struct AcceptErrorHandler {
    log_limiter: RepeatLimiter,
}

impl AcceptErrorHandler {
    /// Returns how to recover from the last of `consecutive_errors` errors, or `None` to call `accept` again
    /// at once. An error of a single connection or of the network does not affect the other connections in
    /// the backlog. While descriptors or memory are exhausted, connections wait in the backlog until an open
    /// one closes; if the error persists, one is evicted.
    pub fn recovery(&self, error: &io::Error, consecutive_errors: u32) -> Option<AcceptRecovery> {
        let exhausted = is_resource_exhaustion(error);
        if !exhausted && !consecutive_errors.is_multiple_of(CONNECTION_ERRORS_PER_BACKOFF) {
            return None;
        }
        if let Some(suppressed) = self.log_limiter.admit(Instant::now()) {
            warn!(%error, suppressed, "could not accept a client connection; retrying");
        }
        let max_errors = if is_descriptor_limit(error) {
            MAX_DESCRIPTOR_LIMIT_ERRORS
        } else {
            MAX_SYSTEM_EXHAUSTION_ERRORS
        };
        let backoff = if consecutive_errors > 1 { REPEATED_ERROR_BACKOFF } else { FIRST_ERROR_BACKOFF };
        Some(AcceptRecovery { evict_connection: exhausted && consecutive_errors > max_errors, backoff })
    }
}
