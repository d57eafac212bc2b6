//! Outlier detection: a server's success rate, and its ejection for a time that doubles while it keeps
//! failing.

use crate::api::Micros;
use crate::decaying_rate::decay;
use crate::handover::text::handover_record;

/// When more than this share of the servers looks bad, none stays ejected (the panic threshold).
const MAX_EJECTED_SHARE: f64 = 0.5;
/// Weight of one outcome in a server's success rate.
const OUTCOME_WEIGHT: f64 = 0.1;
/// Success rate below which a server is ejected: three errors in quick succession.
const EJECTION_THRESHOLD: f64 = 0.8;
/// Success rate that clears the record of past ejections.
const RECOVERY_THRESHOLD: f64 = 0.9;
/// An old success rate recovers over so many seconds, so that an unused server is tried again.
const RECOVERY_HORIZON_S: f64 = 5.0;
/// The first ejection of a server.
const BASE_EJECTION_TIME: Micros = 1_000_000;
/// Times that an ejection doubles, to 16 s: under a usual outage.
const EJECTION_DOUBLINGS: u32 = 4;

/// How an attempt reflects on its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The server answered.
    Success,
    /// The server answered with an error, too late or not to the end.
    Failure,
    /// The server could not be reached.
    Unreachable,
}

/// The health of one server.
#[derive(Clone, Default)]
pub(crate) struct OutlierState {
    /// Share of outcomes that were successes, a weighted mean as of the last one.
    success_rate: f64,
    /// When the last one was.
    last_outcome_at: Micros,
    /// The end of the last ejection.
    ejected_until: Micros,
    /// Ejections in a row.
    consecutive_ejections: u32,
}

handover_record!(OutlierState { success_rate, last_outcome_at, ejected_until, consecutive_ejections }
    times { last_outcome_at, ejected_until });

impl OutlierState {
    /// A server without outcomes.
    pub fn healthy(now: Micros) -> OutlierState {
        OutlierState { success_rate: 1.0, last_outcome_at: now, ..OutlierState::default() }
    }

    /// The end of the last ejection.
    pub fn ejected_until(&self) -> Micros {
        self.ejected_until
    }

    /// Sets the end of the ejection.
    #[cfg(test)]
    pub fn set_ejected_until(&mut self, until: Micros) {
        self.ejected_until = until;
    }

    /// When the last outcome was.
    pub fn last_outcome_at(&self) -> Micros {
        self.last_outcome_at
    }

    /// The success rate, which recovers as the last outcome ages.
    pub fn success_rate(&self, now: Micros) -> f64 {
        let age = now.saturating_sub(self.last_outcome_at);
        1.0 - (1.0 - self.success_rate) * decay(age, RECOVERY_HORIZON_S)
    }

    /// Records one outcome; a server that keeps failing is ejected for a time that doubles.
    pub fn record(&mut self, now: Micros, outcome: Outcome) {
        self.success_rate = self.success_rate(now);
        let since_last = now.saturating_sub(self.last_outcome_at);
        // A server used rarely is judged by the few outcomes there are, and for about as long as they are
        // apart.
        let weight = OUTCOME_WEIGHT.max(1.0 - decay(since_last, RECOVERY_HORIZON_S));
        let observed = if outcome == Outcome::Success { 1.0 } else { 0.0 };
        self.success_rate += weight * (observed - self.success_rate);
        self.last_outcome_at = now;
        if outcome == Outcome::Success && self.success_rate > RECOVERY_THRESHOLD {
            self.consecutive_ejections = 0;
        }
        let is_bad = outcome == Outcome::Unreachable || self.success_rate < EJECTION_THRESHOLD;
        if is_bad && now >= self.ejected_until {
            self.eject(now, since_last);
        }
    }

    /// Ejects the server; the next failure after the ejection does so again.
    fn eject(&mut self, now: Micros, since_last: Micros) {
        let doubled = BASE_EJECTION_TIME << self.consecutive_ejections.min(EJECTION_DOUBLINGS);
        let longest = BASE_EJECTION_TIME << EJECTION_DOUBLINGS;
        self.ejected_until = now + doubled.max(since_last.min(longest));
        self.consecutive_ejections += 1;
        self.success_rate = EJECTION_THRESHOLD;
    }
}

/// How many ejected servers, of so many that are ready, get no new requests; none while too many look bad.
pub(crate) fn enforced_ejections(ejected: usize, ready: usize) -> usize {
    if ejected as f64 <= MAX_EJECTED_SHARE * ready as f64 {
        ejected
    } else {
        0
    }
}
