//! This gateway's even share of a plan's hard limit, as a token bucket: no request passes without its tokens.

use crate::api::{Micros, Plan};
use crate::decaying_rate::seconds;
use crate::handover::text::handover_record;

/// The bucket of the hard limit.
#[derive(Default)]
pub(crate) struct HardLimit {
    /// Units that it holds.
    tokens: f64,
}

handover_record!(HardLimit { tokens } times {});

impl HardLimit {
    /// A bucket that has filled for a span, from none.
    pub fn filled_for(span: Micros, plan: &Plan, even_share: f64) -> HardLimit {
        HardLimit { tokens: seconds(span) * plan.hard_limit_rate * even_share }
    }

    /// Adds this gateway's share of what the rate gives in a span.
    pub fn refill(&mut self, elapsed_s: f64, plan: &Plan, even_share: f64) {
        let max = (plan.hard_limit_burst + plan.hard_limit_overdraft) * even_share;
        self.tokens = (self.tokens + elapsed_s * plan.hard_limit_rate * even_share).min(max);
    }

    /// Whether a request of so many units would exceed the limit.
    pub fn is_exceeded_by(&self, units: f64, plan: &Plan) -> bool {
        plan.hard_limit_rate > 0.0 && self.tokens < units
    }

    /// Removes the units of a request that is forwarded.
    pub fn take(&mut self, units: f64) {
        self.tokens -= units;
    }
}
