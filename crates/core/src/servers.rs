//! Servers as the decisions see them: health, load and cold ramp; and how long an attempt is waited for.

use crate::api::*;
use crate::decaying_rate::fade;
use crate::server_index::Server;

const EJECT_SHARE: f64 = 0.5; // when more than this share looks bad, no verdict is trusted
const OK_GAIN: f64 = 0.1; // weight of one outcome in a server's success score
const OK_EJECT: f64 = 0.8; // score below which a server is ejected: three errors in quick succession
const OK_CLEAR: f64 = 0.9; // a score that clears the record of past ejections
const HEAL_S: f64 = 5.0; // s; an old verdict fades in this time, so that an unused server is tried again
/// The first ejection of a server, µs.
const FIRST_EJECTION: Micros = 1_000_000;
/// Times that an ejection doubles, to 16 s: under a usual outage.
const EJECTION_DOUBLINGS: u32 = 4;
pub(crate) const REPORT_S: f64 = 1.0; // s; a report's weight falls by e in this time
/// Part of the answers that is not slow.
const SLOW_QUANTILE: f64 = 0.97;
/// Step of that running quantile, as a part of the aim.
const SLOW_STEP: f64 = 0.1;
const SILENT: f64 = 2.0; // slow answers; an attempt out for longer will not be answered
const SILENT_OF_AIM: f64 = 0.4; // nor is one given up before, so that a quick server may be slow for once

impl Server {
    /// Requests expected there: our own, always fresh, and others' as last reported, fading with age.
    pub fn expected_in_flight(&self, now: Micros) -> f64 {
        f64::from(self.attempts_in_flight)
            + self.peers_in_flight * fade(now.saturating_sub(self.load_reported_at), REPORT_S)
    }

    /// Share of its capacity that is there at least.
    pub fn slow_start_factor(&self, now: Micros, rules: &ProtocolRules) -> f64 {
        let Some(started_at) = self.endpoint.started_at.filter(|_| rules.warm_up > 0) else { return 1.0 };
        let (up, from) =
            (now.saturating_sub(started_at) as f64 / rules.warm_up as f64, rules.initial_capacity.min(1.0));
        (from + (1.0 - from) * up).clamp(0.01, 1.0)
    }

    /// How long an answer to one more request should take, µs.
    pub fn expected_latency_us(&self, now: Micros, rules: &ProtocolRules) -> f64 {
        (self.expected_in_flight(now) + 1.0) * self.service_time_us / self.slow_start_factor(now, rules)
    }

    /// Share of outcomes that were good, fading to all as the verdict ages.
    pub fn current_success_rate(&self, now: Micros) -> f64 {
        1.0 - (1.0 - self.success_rate) * fade(now.saturating_sub(self.last_outcome_at), HEAL_S)
    }

    /// Books one outcome; a server that keeps failing is ejected for a time that doubles.
    pub fn record_outcome(&mut self, now: Micros, good: bool, dead: bool) {
        self.success_rate = self.current_success_rate(now);
        // A server seen rarely is judged by the little that is seen, and for about as long as that lasts.
        let gap = now.saturating_sub(self.last_outcome_at);
        let gain = OK_GAIN.max(1.0 - fade(gap, HEAL_S));
        self.success_rate += gain * (f64::from(u8::from(good)) - self.success_rate);
        self.last_outcome_at = now;
        if good && self.success_rate > OK_CLEAR {
            self.consecutive_ejections = 0;
        }
        if (dead || self.success_rate < OK_EJECT) && now >= self.ejected_until {
            self.ejected_until = now
                + (FIRST_EJECTION << self.consecutive_ejections.min(EJECTION_DOUBLINGS))
                    .max(gap.min(FIRST_EJECTION << EJECTION_DOUBLINGS));
            self.consecutive_ejections += 1;
            self.success_rate = OK_EJECT; // the next error ejects again
        }
    }
}

/// How many ejected servers, of so many that take work, are enforced_ejections; none while too many look bad.
pub(crate) fn enforced_ejections(ejected: usize, ready: usize) -> usize {
    if ejected as f64 <= EJECT_SHARE * ready as f64 {
        ejected
    } else {
        0
    }
}

/// How long attempts of each class are waited for: a running quantile of the times to answer. A connection
/// that fell silent holds its request no longer than a slow answer would; where many are slow it rises.
#[derive(Default)]
pub(crate) struct AttemptTimeouts(Vec<f64>);

impl AttemptTimeouts {
    /// Before anything was answered, half of the aim is given to an attempt.
    pub fn new(classes: &[Class]) -> AttemptTimeouts {
        AttemptTimeouts(classes.iter().map(|c| 0.5 * c.latency_objective as f64 / SILENT).collect())
    }

    /// Books an attempt that was answered after this time, or given up then.
    pub fn record(&mut self, class: usize, aim: Micros, took: Micros) {
        let step = SLOW_STEP * aim as f64;
        if let Some(slow) = self.0.get_mut(class) {
            let up = if took as f64 > *slow { SLOW_QUANTILE } else { SLOW_QUANTILE - 1.0 };
            *slow = (*slow + up * step).max(0.0);
        }
    }

    /// An attempt out for so long is silent.
    pub fn timeout(&self, class: usize, aim: Micros) -> Micros {
        let slow = self.0.get(class).map_or(f64::MAX, |slow| SILENT * slow);
        slow.max(SILENT_OF_AIM * aim as f64) as Micros
    }
}
