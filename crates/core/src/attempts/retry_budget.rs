//! The retry budget limits retries to a fraction of requests, so that they cannot multiply the load of a
//! failing back end.

/// Number of retries that each first attempt deposits in the budget.
const RETRIES_PER_REQUEST: f64 = 0.15;
/// Maximum balance of the budget, in retries.
const MAX_BALANCE: f64 = 10.0;
/// Cost of a retry after an attempt that may have run, in retries.
const FULL_COST: f64 = 1.0;
/// Cost of a retry after an attempt that was rejected before any work on it.
const REJECTED_COST: f64 = 0.25;
/// Balance below which no attempt timeout applies, since it would abandon an attempt for a retry.
const MIN_BALANCE_FOR_ATTEMPT_TIMEOUT: f64 = 2.0;

/// A balance of retries that first attempts replenish.
#[derive(Default)]
pub(crate) struct RetryBudget {
    /// Number of full-cost retries that may be sent now.
    balance: f64,
}

/// Returns the cost of a retry, given whether an earlier attempt may have run.
pub(crate) fn retry_cost(may_have_run: bool) -> f64 {
    if may_have_run {
        FULL_COST
    } else {
        REJECTED_COST
    }
}

impl RetryBudget {
    /// Creates a budget with half of the maximum balance.
    pub fn new() -> RetryBudget {
        RetryBudget { balance: MAX_BALANCE / 2.0 }
    }

    /// Returns whether the balance covers a retry of this cost.
    pub fn allows(&self, cost: f64) -> bool {
        self.balance >= cost
    }

    /// Returns whether the balance is high enough to abandon an attempt at the attempt timeout for a retry.
    pub fn allows_attempt_timeout(&self) -> bool {
        self.balance >= MIN_BALANCE_FOR_ATTEMPT_TIMEOUT
    }

    /// Adds the fraction of a retry that a first attempt contributes.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + RETRIES_PER_REQUEST).min(MAX_BALANCE);
    }

    /// Deducts the cost of a retry.
    pub fn withdraw(&mut self, cost: f64) {
        self.balance -= cost;
    }
}
