//! Slow start: the minimum fraction of its capacity that a server has while it warms up.

use crate::api::{Micros, NonZeroMicros, ProtocolRules};

/// Lower bound of the slow start factor, which keeps expected latencies finite.
const MIN_FACTOR: f64 = 0.01;

/// Returns the minimum fraction of its capacity that a server has, which grows linearly from its start to the
/// end of the warm-up; 1 for a server without a known start.
pub(crate) fn slow_start_factor(
    started_at: Option<NonZeroMicros>,
    now: Micros,
    rules: &ProtocolRules,
) -> f64 {
    let Some(started_at) = started_at.filter(|_| rules.warm_up > 0) else { return 1.0 };
    let progress = now.saturating_sub(started_at.get()) as f64 / rules.warm_up as f64;
    let initial = rules.initial_capacity.min(1.0);
    (initial + (1.0 - initial) * progress).clamp(MIN_FACTOR, 1.0)
}
