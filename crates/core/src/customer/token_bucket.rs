//! The token bucket of a customer's quota, which all gateways share, and this gateway's allowance of it,
//! which applies where peers' usage is not known exactly.

use crate::api::{Micros, Plan};
use crate::handover::text::handover_record;

/// Maximum fraction of a burst by which peers' usage may overdraw a bucket.
pub(crate) const MAX_OVERDRAFT_FRACTION: f64 = 0.5;
/// Number of even shares that one gateway may use while demand is within the quota, since not all gateways
/// use theirs at once.
const ALLOWANCE_HEADROOM: f64 = 4.0;
/// Number of requests that a full allowance serves at least, however small the share.
const MIN_ALLOWANCE_REQUESTS: f64 = 2.0;

/// The token bucket of one customer's quota, with this gateway's allowance.
#[derive(Default)]
pub(crate) struct TokenBucket {
    /// Units in the bucket that all gateways share, as far as this gateway knows; negative if overdrawn.
    level: f64,
    /// Units of the level that this gateway may use.
    allowance: f64,
    /// Time of the last refill of level and allowance.
    refilled_at: Micros,
}

handover_record!(TokenBucket { level, allowance, refilled_at } times { refilled_at });

/// Returns the fraction of the rate that refills an allowance while demand is known to be within the quota.
pub(crate) fn allowance_with_headroom(even_share: f64) -> f64 {
    (ALLOWANCE_HEADROOM * even_share).min(1.0)
}

/// Returns the largest deficit of a bucket, in units: the difference between a full bucket and the minimum
/// level.
pub(crate) fn max_deficit(plan: &Plan) -> f64 {
    plan.burst * (1.0 + MAX_OVERDRAFT_FRACTION)
}

/// Returns the lowest level that a bucket is assumed to have.
fn min_level(plan: &Plan) -> f64 {
    -plan.burst * MAX_OVERDRAFT_FRACTION
}

impl TokenBucket {
    /// Creates a bucket that is full at `now`.
    pub fn full(now: Micros, plan: &Plan) -> TokenBucket {
        TokenBucket { level: plan.burst, allowance: plan.burst, refilled_at: now }
    }

    /// Returns the units in the shared bucket; negative if overdrawn.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Returns the units that this gateway may use where peers' usage is not known exactly.
    pub fn allowance(&self) -> f64 {
        self.allowance
    }

    /// Returns the time of the last refill.
    pub fn refilled_at(&self) -> Micros {
        self.refilled_at
    }

    /// Records the time of a refill.
    pub fn set_refilled_at(&mut self, now: Micros) {
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Adds the units that the rate yields in `elapsed_s` seconds. Returns the units that overflowed the
    /// bucket.
    pub fn refill(&mut self, elapsed_s: f64, plan: &Plan) -> f64 {
        let filled = self.level + elapsed_s * plan.rate;
        self.level = filled.min(plan.burst);
        filled - self.level
    }

    /// Adds the fraction `share` of the units that the rate yields in `elapsed_s` seconds to this gateway's
    /// allowance, up to the larger of the same fraction of the burst and the units of
    /// [`MIN_ALLOWANCE_REQUESTS`] requests of `units` units each. With `keeps_allowance`, an allowance above
    /// that limit is kept, since it was set from a total of the shared counter.
    pub fn refill_allowance(
        &mut self,
        elapsed_s: f64,
        plan: &Plan,
        share: f64,
        units: f64,
        keeps_allowance: bool,
    ) {
        let retained = if keeps_allowance { self.allowance } else { 0.0 };
        let max = (plan.burst * share).max(MIN_ALLOWANCE_REQUESTS * units).max(retained);
        self.allowance = (self.allowance + elapsed_s * plan.rate * share).min(max);
    }

    /// Removes the units of a forwarded request.
    pub fn take(&mut self, units: f64) {
        self.level -= units;
        self.allowance = (self.allowance - units).max(0.0);
    }

    /// Settles the difference between a request's settled and estimated units.
    pub fn settle(&mut self, difference: f64, plan: &Plan) {
        self.level = (self.level - difference).min(plan.burst);
    }

    /// Grants this gateway units of the quota that peers leave unused, up to the units of two requests.
    pub fn grant_allowance(&mut self, granted: f64, units: f64) {
        self.allowance = (self.allowance + granted).min(MIN_ALLOWANCE_REQUESTS * units);
    }

    /// Lowers the allowance to `limit` if it is higher.
    pub fn cap_allowance(&mut self, limit: f64) {
        self.allowance = self.allowance.min(limit);
    }

    /// Sets this gateway's allowance to the whole level.
    pub fn allow_whole_level(&mut self) {
        self.allowance = self.level.max(0.0);
    }

    /// Lowers the level to `limit` if it is higher.
    pub fn cap_level(&mut self, limit: f64) {
        self.level = self.level.min(limit);
    }

    /// Replaces the level.
    pub fn set_level(&mut self, level: f64) {
        self.level = level;
    }

    /// Removes units that peers have used, down to the minimum level.
    pub fn take_peer_usage(&mut self, units: f64, plan: &Plan) {
        self.level = (self.level - units).max(min_level(plan).min(self.level));
    }
}
