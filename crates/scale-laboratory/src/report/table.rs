//! Tables of a report.

use crate::fit::Line;
use crate::metric::Metric;
use crate::results::{Point, Run};
use serde::Serialize;
use std::fmt::Write;

/// Line fitted to a metric's values over the swept quantity.
#[derive(Clone, Debug, Serialize)]
pub struct Fit {
    /// Metric whose values were fitted.
    pub metric: Metric,
    /// Unit of the values.
    pub unit: &'static str,
    /// Fitted line.
    pub line: Line,
}

/// Tables of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Name of the experiment.
    pub experiment: String,
    /// Purpose of the experiment.
    pub description: String,
    /// Seed of all random number generators.
    pub seed: u64,
    /// Name of the swept quantity; `None` for a single point.
    pub parameter: Option<String>,
    /// Measurements at each size.
    pub points: Vec<Point>,
    /// Lines fitted to the metrics that have enough points and are not 0 throughout.
    pub fits: Vec<Fit>,
}

impl Report {
    /// Creates the report of a run.
    pub fn of(run: &Run) -> Report {
        let fit = |metric: Metric| {
            let line = Line::through(&run.series(metric))?;
            Some(Fit { metric, unit: metric.unit(), line })
        };
        Report {
            experiment: run.experiment.name.clone(),
            description: run.experiment.description.clone(),
            seed: run.experiment.seed,
            parameter: run.experiment.sweep.as_ref().map(|sweep| sweep.parameter.to_string()),
            points: run.points.clone(),
            fits: run.nonzero_metrics().into_iter().filter_map(fit).collect(),
        }
    }

    /// Returns the tables as Markdown.
    pub fn markdown(&self) -> String {
        let mut text = format!("# {}\n\n{} Seed {}.\n", self.experiment, self.description, self.seed);
        self.write_points(&mut text);
        self.write_fits(&mut text);
        self.write_faults(&mut text);
        text
    }

    /// Appends the table of measurements, a row per metric and a column per size.
    fn write_points(&self, text: &mut String) {
        let metrics: Vec<Metric> = Metric::ALL
            .iter()
            .copied()
            .filter(|metric| self.points.iter().any(|point| point.metrics.contains_key(metric)))
            .collect();
        let parameter = self.parameter.as_deref().unwrap_or("");
        let size = |point: &Point| point.size.map_or("value".to_owned(), |size| size.to_string());
        let sizes: Vec<String> = self.points.iter().map(size).collect();
        let _ = writeln!(text, "\n| {parameter} | {} |", sizes.join(" | "));
        let _ = writeln!(text, "|---|{}", "---:|".repeat(sizes.len()));
        for metric in metrics {
            let cell = |point: &Point| {
                point.metrics.get(&metric).map_or(String::new(), |value| format_number(*value))
            };
            let cells: Vec<String> = self.points.iter().map(cell).collect();
            let _ = writeln!(text, "| {} ({}) | {} |", metric.name(), metric.unit(), cells.join(" | "));
        }
    }

    /// Appends the table of fitted lines.
    fn write_fits(&self, text: &mut String) {
        if self.fits.is_empty() {
            return;
        }
        let parameter = self.parameter.as_deref().unwrap_or("");
        let _ = writeln!(text, "\nLeast-squares lines over {parameter}:\n");
        let _ = writeln!(text, "| metric | slope | at zero | residual | R² |\n|---|---:|---:|---:|---:|");
        for Fit { metric, unit, line } in &self.fits {
            let _ = writeln!(
                text,
                "| {} ({unit}) | {} | {} | {} | {:.4} |",
                metric.name(),
                format_number(line.slope),
                format_number(line.intercept),
                format_number(line.residual),
                line.r_squared
            );
        }
    }

    /// Appends the table of fault costs.
    fn write_faults(&self, text: &mut String) {
        if self.points.iter().all(|point| point.faults.is_empty()) {
            return;
        }
        let _ = writeln!(text, "\n| size | fault | at s | lost | refused or failed | recovered after ms |");
        let _ = writeln!(text, "|---|---|---:|---:|---:|---:|");
        for point in &self.points {
            let size = point.size.map_or(String::new(), |size| size.to_string());
            for fault in &point.faults {
                let recovery = fault.recovery_milliseconds.map_or("not seen".to_owned(), format_number);
                let _ = writeln!(
                    text,
                    "| {size} | {} | {} | {} | {} | {recovery} |",
                    fault.fault, fault.at_seconds, fault.lost, fault.rejected_or_failed
                );
            }
        }
    }
}

/// Formats a number with about four significant digits, in exponent form if it is very large or small.
pub fn format_number(value: f64) -> String {
    let magnitude = value.abs();
    if magnitude >= 1e9 || magnitude > 0.0 && magnitude < 1e-3 {
        format!("{value:.3e}")
    } else if magnitude >= 100.0 || value.fract() == 0.0 {
        format!("{value:.0}")
    } else if magnitude >= 1.0 {
        format!("{value:.2}")
    } else {
        format!("{value:.4}")
    }
}
