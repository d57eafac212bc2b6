//! The retry budget: retries are a limited share of requests, so that they cannot multiply the load of a back
//! end in trouble.

/// Share of requests that may be retried.
const RETRIES_PER_REQUEST: f64 = 0.15;
/// Retries that may be saved up.
const MAX_SAVED_RETRIES: f64 = 10.0;
/// Cost of a retry after an attempt that may have run.
const FULL_COST: f64 = 1.0;
/// Cost of a retry after one that was rejected before any work on it.
const REJECTED_COST: f64 = 0.25;
/// Retries that must be left for an attempt to be given up early.
const MIN_SAVED_FOR_EARLY_RETRY: f64 = 2.0;

/// The budget.
#[derive(Default)]
pub(crate) struct RetryBudget {
    /// Retries that may be sent now.
    saved: f64,
}

/// What a retry costs.
pub(crate) fn retry_cost(may_have_run: bool) -> f64 {
    if may_have_run {
        FULL_COST
    } else {
        REJECTED_COST
    }
}

impl RetryBudget {
    /// The budget at the start.
    pub fn new() -> RetryBudget {
        RetryBudget { saved: MAX_SAVED_RETRIES / 2.0 }
    }

    /// Whether a retry of this cost may be sent.
    pub fn allows(&self, cost: f64) -> bool {
        self.saved >= cost
    }

    /// Whether so much is left that an attempt may be given up early for a retry.
    pub fn allows_early_retry(&self) -> bool {
        self.saved >= MIN_SAVED_FOR_EARLY_RETRY
    }

    /// Adds what a first attempt earns.
    pub fn earn(&mut self) {
        self.saved = (self.saved + RETRIES_PER_REQUEST).min(MAX_SAVED_RETRIES);
    }

    /// Pays for a retry.
    pub fn pay(&mut self, cost: f64) {
        self.saved -= cost;
    }
}
