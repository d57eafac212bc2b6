//! Report of a run: tables as Markdown and JSON, metrics in the Prometheus text format, and plots as SVG.

mod plot;
mod table;

pub use table::{format_number, Fit, Report};

use crate::error::{LaboratoryError, Result};
use crate::metrics;
use crate::results::Run;
use std::fs;
use std::path::Path;

/// Name of the file with the tables as Markdown.
const MARKDOWN_FILE: &str = "report.md";
/// Name of the file with the tables as JSON.
const JSON_FILE: &str = "report.json";
/// Name of the folder of the plots.
const PLOTS_FOLDER: &str = "plots";

/// Writes the report of a complete run into its results folder.
pub fn write(folder: &Path) -> Result<()> {
    let run = Run::read_complete(folder)?;
    let report = Report::of(&run);
    write_file(&folder.join(MARKDOWN_FILE), &report.markdown())?;
    let json =
        serde_json::to_string_pretty(&report).map_err(|error| LaboratoryError::results(folder, error))?;
    write_file(&folder.join(JSON_FILE), &(json + "\n"))?;
    metrics::write(&run, folder)?;
    let plots = folder.join(PLOTS_FOLDER);
    fs::create_dir_all(&plots).map_err(|error| LaboratoryError::io(plots.display().to_string(), error))?;
    for metric in run.nonzero_metrics() {
        plot::write(&run, metric, &plots)?;
    }
    Ok(())
}

/// Writes a file of the report.
fn write_file(path: &Path, text: &str) -> Result<()> {
    fs::write(path, text).map_err(|error| LaboratoryError::io(path.display().to_string(), error))
}
