//! Export of a run's measurements in the Prometheus text format.

use crate::error::{LaboratoryError, Result};
use crate::results::Run;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use std::path::Path;
use std::sync::atomic::AtomicU64;

/// Name of the metrics file in a results folder.
const METRICS_FILE: &str = "metrics.prom";
/// Prefix of all metric names.
const PREFIX: &str = "grebehook_scale";

/// Label names and values of a time series.
type Labels = Vec<(&'static str, String)>;

/// Returns a run's measurements in the Prometheus text format.
fn encode_run(run: &Run) -> Result<String> {
    let mut registry = Registry::with_prefix(PREFIX);
    for metric in run.metrics() {
        let family = Family::<Labels, Gauge<f64, AtomicU64>>::default();
        let name = format!("{}_{}", metric.name(), metric.unit()).replace('-', "_");
        registry.register(name, metric.help().trim(), family.clone());
        for point in &run.points {
            if let Some(value) = point.metrics.get(&metric) {
                family.get_or_create(&labels(run, point.size)).set(*value);
            }
        }
    }
    let mut text = String::new();
    encode(&mut text, &registry).map_err(|error| LaboratoryError::Rendering(format!("metrics: {error}")))?;
    Ok(text)
}

/// Returns the labels of a point's values.
fn labels(run: &Run, size: Option<u64>) -> Labels {
    let mut labels = vec![("experiment", run.experiment.name.clone())];
    if let (Some(sweep), Some(size)) = (&run.experiment.sweep, size) {
        labels.push(("parameter", sweep.parameter.to_string()));
        labels.push(("size", size.to_string()));
    }
    labels
}

/// Writes a run's measurements to its results folder.
pub fn write(run: &Run, folder: &Path) -> Result<()> {
    let path = folder.join(METRICS_FILE);
    std::fs::write(&path, encode_run(run)?)
        .map_err(|error| LaboratoryError::io(path.display().to_string(), error))
}
