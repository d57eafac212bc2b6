//! How long clients of each class usually wait. A request whose client waits much shorter than usual is a
//! retry: the rest of the client's time went by with earlier tries.

use crate::api::{Class, Micros};
use crate::running_quantile::step_direction;

/// Rank of the usual timeout among clients': most requests are first tries.
const USUAL_QUANTILE: f64 = 0.7;
/// Step of that running quantile, as a part of the class's deadline.
const QUANTILE_STEP: f64 = 0.02;
/// A timeout under this part of the usual one shows a retry rather than a slow network.
const SHORT_TIMEOUT: f64 = 0.92;

/// The usual timeouts.
#[derive(Default)]
pub(crate) struct ClientTimeouts {
    /// A running quantile for each class, microseconds.
    usual_us: Vec<f64>,
}

impl ClientTimeouts {
    /// Before any request, clients are expected to wait until a class's deadline.
    pub fn new(classes: &[Class]) -> ClientTimeouts {
        ClientTimeouts { usual_us: classes.iter().map(|class| class.deadline as f64).collect() }
    }

    /// Records the timeout of a request.
    pub fn record(&mut self, class: usize, timeout: Micros, class_deadline: Micros) {
        let usual_us = &mut self.usual_us[class];
        let direction = step_direction(*usual_us, timeout as f64, USUAL_QUANTILE);
        *usual_us += direction * QUANTILE_STEP * class_deadline as f64;
    }

    /// Whether a timeout is much shorter than usual.
    pub fn is_short(&self, class: usize, timeout: Micros) -> bool {
        (timeout as f64) < SHORT_TIMEOUT * self.usual_us[class]
    }
}
