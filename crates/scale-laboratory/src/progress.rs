//! Progress and cancellation, shared between a run and its watchdog.

use crate::error::{LaboratoryError, Result};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;

/// Progress counter and cancellation flag of a run; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    /// Steps completed so far.
    steps: Arc<AtomicU64>,
    cancelled: Arc<AtomicBool>,
}

impl Progress {
    /// Records a completed step.
    ///
    /// # Errors
    ///
    /// Returns [`LaboratoryError::Interrupted`] if the run is cancelled.
    pub fn step(&self) -> Result<()> {
        self.steps.fetch_add(1, Ordering::Relaxed);
        if self.cancelled.load(Ordering::Relaxed) {
            return Err(LaboratoryError::Interrupted);
        }
        Ok(())
    }

    /// Returns the number of steps completed so far.
    pub fn steps(&self) -> u64 {
        self.steps.load(Ordering::Relaxed)
    }

    /// Cancels the run at its next step.
    pub fn cancel(&self) {
        self.cancelled.store(true, Ordering::Relaxed);
    }
}
