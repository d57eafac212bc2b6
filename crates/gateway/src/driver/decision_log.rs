//! What the log says of the decision core.

use crate::network::repeat_limiter::RepeatLimiter;
use std::time::Instant;
use tracing::{error, info, warn};

/// Lines about the decision core, each kind limited by itself.
#[derive(Default)]
pub struct DecisionLog {
    panics: RepeatLimiter,
    left_open: RepeatLimiter,
    messages: RepeatLimiter,
}

impl DecisionLog {
    /// It panicked on an event.
    pub fn panicked(&self) {
        if let Some(suppressed) = self.panics.admit(Instant::now()) {
            error!(suppressed, "the decision core panicked; it goes on with the next event");
        }
    }

    /// A request's client waits no longer, and it has not answered.
    pub fn left_open(&self) {
        if let Some(suppressed) = self.left_open.admit(Instant::now()) {
            warn!(suppressed, "the decision core left a request open at its client's limit");
        }
    }

    /// A line of its own.
    pub fn message(&self, text: &str) {
        if let Some(suppressed) = self.messages.admit(Instant::now()) {
            info!(suppressed, "decision core: {text}");
        }
    }
}
