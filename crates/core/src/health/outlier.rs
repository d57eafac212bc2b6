//! Outlier detection: the success rate of a server, and its ejection for a time that doubles while it keeps
//! failing.

use crate::api::Micros;
use crate::decaying_rate::decay_factor;
use crate::handover::text::handover_record;

/// Panic threshold: if more than this fraction of the ready servers is ejected, ejections are not enforced.
const MAX_EJECTED_FRACTION: f64 = 0.5;
/// Weight of the newest outcome in the moving average of a server's success rate.
const OUTCOME_WEIGHT: f64 = 0.1;
/// Success rate below which a server is ejected; three errors in quick succession reach it.
const EJECTION_THRESHOLD: f64 = 0.8;
/// Success rate above which a success resets the doubling of the ejection time.
const RECOVERY_THRESHOLD: f64 = 0.9;
/// Time constant with which the success rate recovers without outcomes, in seconds, so that an unused server
/// is tried again.
const RECOVERY_TIME_CONSTANT_S: f64 = 5.0;
/// Length of a server's first ejection.
const BASE_EJECTION_TIME: Micros = 1_000_000;
/// Number of times that the ejection time can double, to 16 s, which is less than a typical outage lasts.
const EJECTION_DOUBLINGS: u32 = 4;

/// The result of an attempt as outlier detection counts it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The server answered without an error.
    Success,
    /// The server answered with an error, too late or incompletely.
    Failure,
    /// No connection to the server could be established.
    Unreachable,
}

/// The success rate and the ejection of one server.
#[derive(Clone, Default)]
pub(crate) struct OutlierState {
    /// Moving average of the success rate, as of the last outcome.
    success_rate: f64,
    last_outcome_at: Micros,
    /// End of the last ejection; 0 if there was none.
    ejected_until: Micros,
    /// Ejections since the success rate last recovered.
    consecutive_ejections: u32,
}

handover_record!(OutlierState { success_rate, last_outcome_at, ejected_until, consecutive_ejections }
    times { last_outcome_at, ejected_until });

impl OutlierState {
    /// Returns the state of a server without outcomes.
    pub fn healthy(now: Micros) -> OutlierState {
        OutlierState { success_rate: 1.0, last_outcome_at: now, ..OutlierState::default() }
    }

    /// Returns the end of the last ejection; 0 if there was none.
    pub fn ejected_until(&self) -> Micros {
        self.ejected_until
    }

    /// Overrides the end of the last ejection.
    #[cfg(test)]
    pub fn set_ejected_until(&mut self, until: Micros) {
        self.ejected_until = until;
    }

    /// Returns the time of the last outcome, or of the server's listing before any.
    pub fn last_outcome_at(&self) -> Micros {
        self.last_outcome_at
    }

    /// Returns the success rate, which recovers as the last outcome ages.
    pub fn success_rate(&self, now: Micros) -> f64 {
        let age = now.saturating_sub(self.last_outcome_at);
        1.0 - (1.0 - self.success_rate) * decay_factor(age, RECOVERY_TIME_CONSTANT_S)
    }

    /// Records an outcome, and ejects the server if it is unreachable or its success rate is too low.
    pub fn record(&mut self, now: Micros, outcome: Outcome) {
        self.success_rate = self.success_rate(now);
        let since_last = now.saturating_sub(self.last_outcome_at);
        // The weight of an outcome grows with the time since the last one: a rarely used server has few
        // outcomes, each of which counts for about the time until the next.
        let weight = OUTCOME_WEIGHT.max(1.0 - decay_factor(since_last, RECOVERY_TIME_CONSTANT_S));
        let observed = if outcome == Outcome::Success { 1.0 } else { 0.0 };
        self.success_rate += weight * (observed - self.success_rate);
        self.last_outcome_at = now;
        if outcome == Outcome::Success && self.success_rate > RECOVERY_THRESHOLD {
            self.consecutive_ejections = 0;
        }
        let should_eject = outcome == Outcome::Unreachable || self.success_rate < EJECTION_THRESHOLD;
        if should_eject && now >= self.ejected_until {
            self.eject(now, since_last);
        }
    }

    /// Ejects the server for at least the time since the last outcome, up to the longest ejection. Sets the
    /// success rate to the threshold, so that the next failure after the ejection ejects it again.
    fn eject(&mut self, now: Micros, since_last: Micros) {
        let doubled = BASE_EJECTION_TIME << self.consecutive_ejections.min(EJECTION_DOUBLINGS);
        let longest = BASE_EJECTION_TIME << EJECTION_DOUBLINGS;
        self.ejected_until = now + doubled.max(since_last.min(longest));
        self.consecutive_ejections += 1;
        self.success_rate = EJECTION_THRESHOLD;
    }
}

/// Returns how many of the ejected ready servers get no new requests: all of them, or none above the panic
/// threshold.
pub(crate) fn enforced_ejections(ejected: usize, ready: usize) -> usize {
    if ejected as f64 <= MAX_EJECTED_FRACTION * ready as f64 {
        ejected
    } else {
        0
    }
}
