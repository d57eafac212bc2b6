//! Spans in seconds, exponential decay, and a rate that decays; used by all state that ages.

use crate::api::Micros;
use crate::handover::text::handover_record;

/// A span in seconds.
pub(crate) fn seconds(span: Micros) -> f64 {
    span as f64 / 1e6
}

/// What is left of a value after a span, when it falls by a factor of e in each `horizon_s` seconds.
pub(crate) fn decay(span: Micros, horizon_s: f64) -> f64 {
    (-seconds(span) / horizon_s).exp()
}

/// A rate in units a second, an exponentially weighted average over a horizon of some seconds.
#[derive(Clone, Copy, Default)]
pub(crate) struct DecayingRate {
    /// The rate at the last update, units a second.
    value: f64,
    /// When that was.
    updated_at: Micros,
}

handover_record!(DecayingRate { value, updated_at } times { updated_at });

impl DecayingRate {
    /// The rate as it is now, units a second.
    pub fn get(&self, now: Micros, horizon_s: f64) -> f64 {
        self.value * decay(now.saturating_sub(self.updated_at), horizon_s)
    }

    /// Counts units now.
    pub fn add(&mut self, now: Micros, units: f64, horizon_s: f64) {
        *self = DecayingRate { value: self.get(now, horizon_s) + units / horizon_s, updated_at: now };
    }
}
