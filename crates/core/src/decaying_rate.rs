//! Conversion to seconds, exponential decay, and an exponentially weighted rate, for all state that ages.

use crate::api::Micros;
use crate::handover::text::handover_record;

/// Converts a duration to seconds.
pub(crate) fn seconds(span: Micros) -> f64 {
    span as f64 / 1e6
}

/// Returns the share of a value that remains after a duration if the value falls by a factor of e every
/// `horizon_s` seconds.
pub(crate) fn decay(span: Micros, horizon_s: f64) -> f64 {
    (-seconds(span) / horizon_s).exp()
}

/// A rate in units per second: an exponentially weighted average with a time constant of some seconds.
#[derive(Clone, Copy, Default)]
pub(crate) struct DecayingRate {
    /// Rate at the last update, in units per second.
    value: f64,
    /// Time of the last update.
    updated_at: Micros,
}

handover_record!(DecayingRate { value, updated_at } times { updated_at });

impl DecayingRate {
    /// Returns the rate decayed to `now`, in units per second.
    pub fn get(&self, now: Micros, horizon_s: f64) -> f64 {
        self.value * decay(now.saturating_sub(self.updated_at), horizon_s)
    }

    /// Adds units observed at `now`.
    pub fn add(&mut self, now: Micros, units: f64, horizon_s: f64) {
        *self = DecayingRate { value: self.get(now, horizon_s) + units / horizon_s, updated_at: now };
    }
}
