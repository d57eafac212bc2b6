//! This gateway's even share of a plan's hard limit, as a token bucket: no request is forwarded without its
//! tokens.

use crate::api::{Micros, Plan};
use crate::decaying_rate::seconds;
use crate::handover::text::handover_record;

/// The token bucket of the hard limit.
#[derive(Default)]
pub(crate) struct HardLimit {
    tokens: f64,
}

handover_record!(HardLimit { tokens } times {});

impl HardLimit {
    /// Creates a bucket that was empty and has been refilled for a duration.
    pub fn filled_for(duration: Micros, plan: &Plan, even_share: f64) -> HardLimit {
        HardLimit { tokens: seconds(duration) * plan.hard_limit_rate * even_share }
    }

    /// Adds this gateway's share of the tokens that the rate yields in `elapsed_s` seconds.
    pub fn refill(&mut self, elapsed_s: f64, plan: &Plan, even_share: f64) {
        let max = (plan.hard_limit_burst + plan.hard_limit_overdraft) * even_share;
        self.tokens = (self.tokens + elapsed_s * plan.hard_limit_rate * even_share).min(max);
    }

    /// Returns whether a request of `units` units would exceed the limit.
    pub fn is_exceeded_by(&self, units: f64, plan: &Plan) -> bool {
        plan.hard_limit_rate > 0.0 && self.tokens < units
    }

    /// Removes the units of a forwarded request.
    pub fn take(&mut self, units: f64) {
        self.tokens -= units;
    }
}
