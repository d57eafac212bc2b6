//! The token bucket of a customer's quota, which all gateways share, and this gateway's own allowance of it,
//! which holds where others' use is not known unit by unit.

use crate::api::{Micros, Plan};
use crate::handover::text::handover_record;

/// Most of a burst by which others' use may put a bucket below zero.
pub(crate) const MAX_DEBT_OF_BURST: f64 = 0.5;
/// Even shares that one gateway may use while demand is within the quota: not all gateways use theirs at
/// once.
const ALLOWANCE_HEADROOM: f64 = 4.0;
/// Requests that a full allowance serves at least, however small the share.
const MIN_ALLOWANCE_REQUESTS: f64 = 2.0;

/// The bucket.
#[derive(Default)]
pub(crate) struct TokenBucket {
    /// Units that the bucket of all gateways holds, as far as this one knows; negative where more was used.
    level: f64,
    /// Units that this gateway may use of them.
    allowance: f64,
    /// When both were last refilled.
    refilled_at: Micros,
}

handover_record!(TokenBucket { level, allowance, refilled_at } times { refilled_at });

/// The share of the rate that fills an allowance while demand is known to be within the quota.
pub(crate) fn allowance_with_headroom(even_share: f64) -> f64 {
    (ALLOWANCE_HEADROOM * even_share).min(1.0)
}

/// Units between the lowest level that a bucket is taken to have and a full one.
pub(crate) fn max_deficit(plan: &Plan) -> f64 {
    plan.burst * (1.0 + MAX_DEBT_OF_BURST)
}

/// The lowest level that a bucket is taken to have.
fn min_level(plan: &Plan) -> f64 {
    -plan.burst * MAX_DEBT_OF_BURST
}

impl TokenBucket {
    /// A bucket that is full now.
    pub fn full(now: Micros, plan: &Plan) -> TokenBucket {
        TokenBucket { level: plan.burst, allowance: plan.burst, refilled_at: now }
    }

    /// Units in the bucket.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Units that this gateway may use where others' use is not known unit by unit.
    pub fn allowance(&self) -> f64 {
        self.allowance
    }

    /// When it was last refilled.
    pub fn refilled_at(&self) -> Micros {
        self.refilled_at
    }

    /// Records a refill.
    pub fn set_refilled_at(&mut self, now: Micros) {
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Adds what the rate gives in a span; returns the units that the bucket could not hold.
    pub fn refill(&mut self, elapsed_s: f64, plan: &Plan) -> f64 {
        let filled = self.level + elapsed_s * plan.rate;
        self.level = filled.min(plan.burst);
        filled - self.level
    }

    /// Adds a share of what the rate gives in a span to this gateway's allowance. With `keeps_level`, an
    /// allowance that is already larger than its share stays so: a total of the shared counter gave it.
    pub fn refill_allowance(
        &mut self,
        elapsed_s: f64,
        plan: &Plan,
        share: f64,
        units: f64,
        keeps_level: bool,
    ) {
        let retained = if keeps_level { self.allowance } else { 0.0 };
        let max = (plan.burst * share).max(MIN_ALLOWANCE_REQUESTS * units).max(retained);
        self.allowance = (self.allowance + elapsed_s * plan.rate * share).min(max);
    }

    /// Removes the units of a request that is forwarded.
    pub fn take(&mut self, units: f64) {
        self.level -= units;
        self.allowance = (self.allowance - units).max(0.0);
    }

    /// Settles the difference between a request's true units and those it named.
    pub fn settle(&mut self, difference: f64, plan: &Plan) {
        self.level = (self.level - difference).min(plan.burst);
    }

    /// Grants this gateway units of the quota that others leave, up to what serves two requests.
    pub fn grant_allowance(&mut self, granted: f64, units: f64) {
        self.allowance = (self.allowance + granted).min(MIN_ALLOWANCE_REQUESTS * units);
    }

    /// Lowers the allowance to a limit.
    pub fn limit_allowance(&mut self, limit: f64) {
        self.allowance = self.allowance.min(limit);
    }

    /// Makes all that the bucket holds this gateway's allowance.
    pub fn allow_whole_level(&mut self) {
        self.allowance = self.level.max(0.0);
    }

    /// Lowers the level to a limit.
    pub fn limit_level(&mut self, limit: f64) {
        self.level = self.level.min(limit);
    }

    /// Sets the level.
    pub fn set_level(&mut self, level: f64) {
        self.level = level;
    }

    /// Removes units that others used at the same time, down to the largest debt.
    pub fn take_use_of_peers(&mut self, units: f64, plan: &Plan) {
        self.level = (self.level - units).max(min_level(plan).min(self.level));
    }
}
