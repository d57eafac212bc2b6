//! Running estimates of a quantile, which move by a step with each sample.

/// The direction in which an estimate moves for a sample: none on average once the share `quantile` of the
/// samples is below it.
pub(crate) fn step_direction(estimate: f64, sample: f64, quantile: f64) -> f64 {
    if sample > estimate {
        quantile
    } else {
        quantile - 1.0
    }
}
