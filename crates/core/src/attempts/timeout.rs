//! How long attempts of each class are waited for before a retry: a running quantile of the times to answer.
//! A connection that fell silent delays its request no longer than a slow answer would; where many answers
//! are slow the timeout rises.

use crate::api::{Class, Micros};
use crate::running_quantile::step_direction;

/// Part of the answers that is not slow.
const SLOW_QUANTILE: f64 = 0.97;
/// Step of that running quantile, as a part of the latency objective.
const QUANTILE_STEP: f64 = 0.1;
/// The timeout in times of a slow answer: an attempt in flight for longer will not be answered.
const TIMEOUT_OF_SLOW: f64 = 2.0;
/// Part of the latency objective that an attempt is waited for at least, so that a fast server may be slow
/// for once.
const MIN_TIMEOUT_OF_OBJECTIVE: f64 = 0.4;
/// Part of the latency objective that is the timeout before anything was answered.
const INITIAL_TIMEOUT_OF_OBJECTIVE: f64 = 0.5;

/// The timeouts of all classes.
#[derive(Default)]
pub(crate) struct AttemptTimeouts {
    /// Time of a slow answer of each class, microseconds.
    slow_us: Vec<f64>,
}

impl AttemptTimeouts {
    /// The timeouts before anything was answered.
    pub fn new(classes: &[Class]) -> AttemptTimeouts {
        let initial =
            |class: &Class| INITIAL_TIMEOUT_OF_OBJECTIVE * class.latency_objective as f64 / TIMEOUT_OF_SLOW;
        AttemptTimeouts { slow_us: classes.iter().map(initial).collect() }
    }

    /// Records an attempt that was answered, or abandoned, after this time.
    pub fn record(&mut self, class: usize, latency_objective: Micros, elapsed: Micros) {
        let step_us = QUANTILE_STEP * latency_objective as f64;
        if let Some(slow_us) = self.slow_us.get_mut(class) {
            let direction = step_direction(*slow_us, elapsed as f64, SLOW_QUANTILE);
            *slow_us = (*slow_us + direction * step_us).max(0.0);
        }
    }

    /// How long an attempt is waited for.
    pub fn timeout(&self, class: usize, latency_objective: Micros) -> Micros {
        let timeout_us = self.slow_us.get(class).map_or(f64::MAX, |slow_us| TIMEOUT_OF_SLOW * slow_us);
        timeout_us.max(MIN_TIMEOUT_OF_OBJECTIVE * latency_objective as f64) as Micros
    }
}
