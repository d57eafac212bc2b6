//! Plots of a metric over the swept quantity, with the fitted line.

use crate::error::{LaboratoryError, Result};
use crate::fit::{Line, Sample};
use crate::metric::Metric;
use crate::results::Run;
use plotters::prelude::{
    ChartBuilder, Circle, Color, IntoDrawingArea, LineSeries, SVGBackend, BLUE, RED, WHITE,
};
use std::path::Path;

/// Width and height of a plot, in pixels.
const SIZE: (u32, u32) = (640, 400);
/// Ratio of an axis' end to the largest value on it.
const HEADROOM: f64 = 1.1;
/// Length of an axis on which all values are 0.
const MIN_AXIS_LENGTH: f64 = 1e-9;

/// Writes the plot of a metric; does nothing if the experiment has no sweep.
pub fn write(run: &Run, metric: Metric, folder: &Path) -> Result<()> {
    let Some(sweep) = &run.experiment.sweep else { return Ok(()) };
    let path = folder.join(format!("{}.svg", metric.name()));
    let plot = Plot {
        title: &run.experiment.name,
        x_label: sweep.parameter.to_string(),
        y_label: format!("{} ({})", metric.name(), metric.unit()),
        samples: run.series(metric),
    };
    draw(&path, &plot).map_err(|error| LaboratoryError::Rendering(format!("{}: {error}", path.display())))
}

/// Content of a plot.
struct Plot<'a> {
    /// Caption above the plot.
    title: &'a str,
    /// Label of the horizontal axis.
    x_label: String,
    /// Label of the vertical axis.
    y_label: String,
    /// Measured points.
    samples: Vec<Sample>,
}

/// Draws the points and the line fitted to them.
fn draw(path: &Path, plot: &Plot) -> std::result::Result<(), Box<dyn std::error::Error>> {
    let max_x = plot.samples.iter().map(|sample| sample.x).fold(MIN_AXIS_LENGTH, f64::max) * HEADROOM;
    let max_y = plot.samples.iter().map(|sample| sample.y).fold(MIN_AXIS_LENGTH, f64::max) * HEADROOM;
    let min_y = plot.samples.iter().map(|sample| sample.y).fold(0.0, f64::min) * HEADROOM;
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(plot.title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(80)
        .build_cartesian_2d(0.0..max_x, min_y..max_y)?;
    chart.configure_mesh().x_desc(&plot.x_label).y_desc(&plot.y_label).light_line_style(WHITE).draw()?;
    if let Some(line) = Line::through(&plot.samples) {
        let ends = [(0.0, line.at(0.0)), (max_x, line.at(max_x))];
        chart.draw_series(LineSeries::new(ends, &BLUE))?;
    }
    chart
        .draw_series(plot.samples.iter().map(|sample| Circle::new((sample.x, sample.y), 4, RED.filled())))?;
    area.present()?;
    Ok(())
}
