//! The tables of a report.

use crate::fit::Line;
use crate::metric::Metric;
use crate::results::{Point, Run};
use serde::Serialize;
use std::fmt::Write;

/// A line through a metric's values over the swept quantity.
#[derive(Clone, Debug, Serialize)]
pub struct Fit {
    /// The metric.
    pub metric: Metric,
    /// Its unit.
    pub unit: &'static str,
    /// The line.
    pub line: Line,
}

/// A run's tables.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The experiment.
    pub experiment: String,
    /// Its purpose.
    pub description: String,
    /// The seed of all random numbers.
    pub seed: u64,
    /// The swept quantity; `None` for a single point.
    pub parameter: Option<String>,
    /// What was measured at each size.
    pub points: Vec<Point>,
    /// Lines through it, if there are enough points.
    pub fits: Vec<Fit>,
}

impl Report {
    /// The report of a run.
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
            fits: run.varied_metrics().into_iter().filter_map(fit).collect(),
        }
    }

    /// The tables as Markdown.
    pub fn markdown(&self) -> String {
        let mut text = format!("# {}\n\n{} Seed {}.\n", self.experiment, self.description, self.seed);
        self.write_points(&mut text);
        self.write_fits(&mut text);
        self.write_faults(&mut text);
        text
    }

    /// The table of the points.
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
            let cell =
                |point: &Point| point.metrics.get(&metric).map_or(String::new(), |value| number(*value));
            let cells: Vec<String> = self.points.iter().map(cell).collect();
            let _ = writeln!(text, "| {} ({}) | {} |", metric.name(), metric.unit(), cells.join(" | "));
        }
    }

    /// The table of the lines.
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
                number(line.slope),
                number(line.intercept),
                number(line.residual),
                line.r_squared
            );
        }
    }

    /// The table of the faults.
    fn write_faults(&self, text: &mut String) {
        if self.points.iter().all(|point| point.faults.is_empty()) {
            return;
        }
        let _ = writeln!(text, "\n| size | fault | at s | lost | refused or failed | recovered after ms |");
        let _ = writeln!(text, "|---|---|---:|---:|---:|---:|");
        for point in &self.points {
            let size = point.size.map_or(String::new(), |size| size.to_string());
            for fault in &point.faults {
                let recovery = fault.recovery_milliseconds.map_or("not seen".to_owned(), number);
                let _ = writeln!(
                    text,
                    "| {size} | {} | {} | {} | {} | {recovery} |",
                    fault.fault, fault.at_seconds, fault.lost, fault.refused_or_failed
                );
            }
        }
    }
}

/// A number with about four digits.
pub fn number(value: f64) -> String {
    let size = value.abs();
    if size >= 1e9 || size > 0.0 && size < 1e-3 {
        format!("{value:.3e}")
    } else if size >= 100.0 || value.fract() == 0.0 {
        format!("{value:.0}")
    } else if size >= 1.0 {
        format!("{value:.2}")
    } else {
        format!("{value:.4}")
    }
}
