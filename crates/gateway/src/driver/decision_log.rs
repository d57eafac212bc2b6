//! Log lines about the decision core.

use crate::network::repeat_limiter::RepeatLimiter;
use std::time::Instant;
use tracing::{error, info, warn};

/// Writes the log lines about the decision core; each kind has a rate limit of its own.
#[derive(Default)]
pub struct DecisionLog {
    /// Limits the lines about panics.
    panics: RepeatLimiter,
    /// Limits the lines about requests without an answer.
    unanswered: RepeatLimiter,
    /// Limits the decision core's own lines.
    messages: RepeatLimiter,
}

impl DecisionLog {
    /// The decision core panicked while it handled an event.
    pub fn panicked(&self) {
        if let Some(suppressed) = self.panics.admit(Instant::now()) {
            error!(suppressed, "the decision core panicked; continuing with the next event");
        }
    }

    /// The decision core gave a request no answer before its deadline.
    pub fn left_unanswered(&self) {
        if let Some(suppressed) = self.unanswered.admit(Instant::now()) {
            warn!(suppressed, "the decision core left a request unanswered at its deadline; answering 504");
        }
    }

    /// A line that the decision core asked for.
    pub fn message(&self, text: &str) {
        if let Some(suppressed) = self.messages.admit(Instant::now()) {
            info!(suppressed, "decision core: {text}");
        }
    }
}
