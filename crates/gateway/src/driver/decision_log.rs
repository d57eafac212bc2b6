//! Rate-limited log lines about the decision core.

use crate::network::repeat_limiter::RepeatLimiter;
use std::time::Instant;
use tracing::{error, info, warn};

/// Writes log lines about the decision core, with a separate rate limit for each kind of line.
#[derive(Default)]
pub struct DecisionLog {
    panics: RepeatLimiter,
    /// Limits lines about requests that the decision core left unanswered.
    unanswered: RepeatLimiter,
    /// Limits lines that the decision core requested.
    messages: RepeatLimiter,
}

impl DecisionLog {
    /// Logs that the decision core panicked while it handled an event.
    pub fn log_panic(&self) {
        if let Some(suppressed) = self.panics.admit(Instant::now()) {
            error!(suppressed, "the decision core panicked; continuing with the next event");
        }
    }

    /// Logs that the decision core did not answer a request before its deadline.
    pub fn log_unanswered_request(&self) {
        if let Some(suppressed) = self.unanswered.admit(Instant::now()) {
            warn!(suppressed, "the decision core left a request unanswered at its deadline; answering 504");
        }
    }

    /// Logs a line that the decision core requested.
    pub fn log_core_message(&self, text: &str) {
        if let Some(suppressed) = self.messages.admit(Instant::now()) {
            info!(suppressed, "decision core: {text}");
        }
    }
}
