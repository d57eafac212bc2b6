//! The attempt timeout of each class, after which an attempt is abandoned for a retry. The timeout is a
//! multiple of a running quantile of the latency, so that an unresponsive connection delays its request
//! little more than a slow answer would, and so that the timeout rises when many answers are slow.

use crate::api::{Class, Micros};
use crate::running_quantile::step_factor;

/// Quantile of the latency above which an answer is slow.
const SLOW_LATENCY_QUANTILE: f64 = 0.97;
/// Step of the running quantile, as a fraction of the latency objective.
const QUANTILE_STEP: f64 = 0.1;
/// Ratio of the timeout to the latency of a slow answer: an attempt in flight for longer is not expected to
/// be answered.
const SLOW_LATENCY_MULTIPLE: f64 = 2.0;
/// Minimum timeout as a fraction of the latency objective, which tolerates an occasional slow answer of a
/// fast server.
const MIN_TIMEOUT_FRACTION_OF_OBJECTIVE: f64 = 0.4;
/// Timeout before the first answer, as a fraction of the latency objective.
const INITIAL_TIMEOUT_FRACTION_OF_OBJECTIVE: f64 = 0.5;

/// Attempt timeouts of all classes.
#[derive(Default)]
pub(crate) struct AttemptTimeouts {
    /// Latency of a slow answer by class, in microseconds.
    slow_latency_us: Vec<f64>,
}

impl AttemptTimeouts {
    /// Creates the timeouts that apply before the first answer.
    pub fn new(classes: &[Class]) -> AttemptTimeouts {
        let initial = |class: &Class| {
            INITIAL_TIMEOUT_FRACTION_OF_OBJECTIVE * class.latency_objective as f64 / SLOW_LATENCY_MULTIPLE
        };
        AttemptTimeouts { slow_latency_us: classes.iter().map(initial).collect() }
    }

    /// Updates the estimate of a class with an attempt that was answered, or abandoned, after `elapsed`.
    pub fn record(&mut self, class: usize, latency_objective: Micros, elapsed: Micros) {
        let step_us = QUANTILE_STEP * latency_objective as f64;
        if let Some(slow_latency_us) = self.slow_latency_us.get_mut(class) {
            let factor = step_factor(*slow_latency_us, elapsed as f64, SLOW_LATENCY_QUANTILE);
            *slow_latency_us = (*slow_latency_us + factor * step_us).max(0.0);
        }
    }

    /// Returns the attempt timeout of a class.
    pub fn timeout(&self, class: usize, latency_objective: Micros) -> Micros {
        let timeout_us = self
            .slow_latency_us
            .get(class)
            .map_or(f64::MAX, |slow_latency_us| SLOW_LATENCY_MULTIPLE * slow_latency_us);
        timeout_us.max(MIN_TIMEOUT_FRACTION_OF_OBJECTIVE * latency_objective as f64) as Micros
    }
}
