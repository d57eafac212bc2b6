//! What a run shares with its watcher: steps of progress, and cancellation.

use crate::error::{LaboratoryError, Result};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;

/// Shared between a run and its watcher.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    /// Steps so far.
    steps: Arc<AtomicU64>,
    /// The run is to end.
    cancelled: Arc<AtomicBool>,
}

impl Progress {
    /// The run has made a step; fails if it is cancelled.
    pub fn step(&self) -> Result<()> {
        self.steps.fetch_add(1, Ordering::Relaxed);
        if self.cancelled.load(Ordering::Relaxed) {
            return Err(LaboratoryError::Interrupted);
        }
        Ok(())
    }

    /// Steps so far.
    pub fn steps(&self) -> u64 {
        self.steps.load(Ordering::Relaxed)
    }

    /// Cancels the run.
    pub fn cancel(&self) {
        self.cancelled.store(true, Ordering::Relaxed);
    }
}
