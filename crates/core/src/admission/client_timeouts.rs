//! The typical client timeout of each class. A request with a much shorter timeout is assumed to be a retry:
//! earlier tries have used up the rest of the client's time.

use crate::api::{Class, Micros};
use crate::running_quantile::step_factor;

/// Quantile of the client timeouts that is the typical one: most requests are first tries.
const TYPICAL_TIMEOUT_QUANTILE: f64 = 0.7;
/// Step of the running quantile, as a fraction of the class's deadline.
const QUANTILE_STEP: f64 = 0.02;
/// Fraction of the typical timeout below which a timeout indicates a retry rather than a slow network.
const SHORT_TIMEOUT_FRACTION: f64 = 0.92;

/// Typical client timeouts of all classes.
#[derive(Default)]
pub(crate) struct ClientTimeouts {
    /// Running quantile by class, in microseconds.
    typical_timeout_us: Vec<f64>,
}

impl ClientTimeouts {
    /// Creates estimates that start at the deadline of each class.
    pub fn new(classes: &[Class]) -> ClientTimeouts {
        ClientTimeouts { typical_timeout_us: classes.iter().map(|class| class.deadline as f64).collect() }
    }

    /// Updates the estimate of a class with the client timeout of a request.
    pub fn record(&mut self, class: usize, timeout: Micros, class_deadline: Micros) {
        let typical_timeout_us = &mut self.typical_timeout_us[class];
        let factor = step_factor(*typical_timeout_us, timeout as f64, TYPICAL_TIMEOUT_QUANTILE);
        *typical_timeout_us += factor * QUANTILE_STEP * class_deadline as f64;
    }

    /// Returns whether a client timeout is much shorter than the typical one of its class.
    pub fn is_short(&self, class: usize, timeout: Micros) -> bool {
        (timeout as f64) < SHORT_TIMEOUT_FRACTION * self.typical_timeout_us[class]
    }
}
