//! Slow start: the share of its capacity that a server has while it warms up.

use crate::api::{Micros, ProtocolRules};

/// Least slow start factor, so that expected latencies stay finite.
const MIN_FACTOR: f64 = 0.01;

/// Share of its capacity that a server has at least, by when it started.
pub(crate) fn slow_start_factor(started_at: Option<Micros>, now: Micros, rules: &ProtocolRules) -> f64 {
    let Some(started_at) = started_at.filter(|_| rules.warm_up > 0) else { return 1.0 };
    let progress = now.saturating_sub(started_at) as f64 / rules.warm_up as f64;
    let initial = rules.initial_capacity.min(1.0);
    (initial + (1.0 - initial) * progress).clamp(MIN_FACTOR, 1.0)
}
