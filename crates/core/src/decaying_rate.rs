//! Conversion to seconds, exponential decay, and an exponentially weighted rate, for all state that ages.

use crate::api::Micros;
use crate::handover::text::handover_record;

/// Converts a duration to seconds.
pub(crate) fn seconds(duration: Micros) -> f64 {
    duration as f64 / 1e6
}

/// Returns the fraction of a value that remains after a duration of exponential decay: e^-1 after
/// `time_constant_s` seconds.
pub(crate) fn decay_factor(duration: Micros, time_constant_s: f64) -> f64 {
    (-seconds(duration) / time_constant_s).exp()
}

/// A rate in units per second: an exponentially weighted average with a time constant of a few seconds.
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
    pub fn get(&self, now: Micros, time_constant_s: f64) -> f64 {
        self.value * decay_factor(now.saturating_sub(self.updated_at), time_constant_s)
    }

    /// Adds units observed at `now`.
    pub fn add(&mut self, now: Micros, units: f64, time_constant_s: f64) {
        *self =
            DecayingRate { value: self.get(now, time_constant_s) + units / time_constant_s, updated_at: now };
    }
}
