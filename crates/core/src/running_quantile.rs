//! Running estimation of a quantile by stochastic approximation: each sample moves the estimate by a step.

/// Returns the signed factor of the step by which a sample moves the estimate. The factor is 0 on average
/// once the fraction `quantile` of the samples is below the estimate.
pub(crate) fn step_factor(estimate: f64, sample: f64, quantile: f64) -> f64 {
    if sample > estimate {
        quantile
    } else {
        quantile - 1.0
    }
}
