//! Results on disk: a folder with `run.json`, rewritten after each point so that an interrupted run
//! keeps the points measured so far.

use crate::error::{LaboratoryError, Result};
use crate::experiment::Experiment;
use crate::fit::Sample;
use crate::metric::Metric;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

/// Name of the results file in a results folder.
pub const RUN_FILE: &str = "run.json";
/// Name of the results file until it is completely written.
const PARTIAL_RUN_FILE: &str = "run.json.partial";
/// Format version of the results file; files of other versions are rejected.
const FORMAT: u32 = 1;

/// Progress of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunStatus {
    /// Some points have not been measured yet.
    Running,
    /// All points have been measured.
    Complete,
    /// The run failed or was interrupted, and keeps the points measured before.
    Failed,
}

/// Requests that a fault cost, and the time until the fleet recovered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FaultCost {
    /// Name of the fault.
    pub fault: String,
    /// Start of the fault, in seconds of the measured time.
    pub at_seconds: f64,
    /// Requests without a response, from the start of the fault to the recovery.
    pub lost: u64,
    /// Requests rejected or failed in the same time.
    #[serde(rename = "refused_or_failed")]
    pub rejected_or_failed: u64,
    /// Time until requests were served as before, in milliseconds; `None` if that was not observed.
    pub recovery_milliseconds: Option<f64>,
}

/// Measurements at one size of an experiment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// Value of the swept quantity; `None` without a sweep.
    pub size: Option<u64>,
    /// Values by metric.
    pub metrics: BTreeMap<Metric, f64>,
    /// Cost of each fault, in the order in which the faults started.
    pub faults: Vec<FaultCost>,
}

/// Run of an experiment, as its results file stores it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// Format version of the results file.
    pub format: u32,
    /// Progress of the run.
    pub status: RunStatus,
    /// Error that ended the run.
    pub error: Option<String>,
    /// Experiment, including its seed.
    pub experiment: Experiment,
    /// Points measured so far, in the order of their sizes.
    pub points: Vec<Point>,
}

impl Run {
    /// Creates a run without points.
    pub fn new(experiment: Experiment) -> Run {
        Run { format: FORMAT, status: RunStatus::Running, error: None, experiment, points: Vec::new() }
    }

    /// Writes the results file atomically, by renaming a temporary file.
    pub fn write(&self, folder: &Path) -> Result<()> {
        let failed = |error| LaboratoryError::io(format!("{} cannot be written", folder.display()), error);
        fs::create_dir_all(folder).map_err(failed)?;
        let text =
            serde_json::to_string_pretty(self).map_err(|error| LaboratoryError::results(folder, error))?;
        let partial = folder.join(PARTIAL_RUN_FILE);
        fs::write(&partial, text + "\n").map_err(failed)?;
        fs::rename(&partial, folder.join(RUN_FILE)).map_err(failed)
    }

    /// Reads a run in any status.
    pub fn read(folder: &Path) -> Result<Run> {
        let path = folder.join(RUN_FILE);
        let text = fs::read_to_string(&path).map_err(|error| LaboratoryError::results(&path, error))?;
        let run: Run = serde_json::from_str(&text).map_err(|error| LaboratoryError::results(&path, error))?;
        if run.format != FORMAT {
            return Err(LaboratoryError::results(
                &path,
                format!("has format {}, expected {FORMAT}", run.format),
            ));
        }
        Ok(run)
    }

    /// Reads a run and rejects an incomplete one.
    pub fn read_complete(folder: &Path) -> Result<Run> {
        let run = Run::read(folder)?;
        if run.status == RunStatus::Complete {
            return Ok(run);
        }
        let measured = run.points.len();
        let total = run.experiment.points().len();
        let cause = run.error.as_deref().unwrap_or("the run did not finish");
        let reason = format!("is half written: {measured} of {total} points ({cause})");
        Err(LaboratoryError::results(&folder.join(RUN_FILE), reason))
    }

    /// Returns the values of a metric over the swept quantity; without a sweep there are none.
    pub fn series(&self, metric: Metric) -> Vec<Sample> {
        let sample = |point: &Point| Some(Sample { x: point.size? as f64, y: *point.metrics.get(&metric)? });
        self.points.iter().filter_map(sample).collect()
    }

    /// Returns the metrics that have a value other than 0 at some size.
    pub fn nonzero_metrics(&self) -> Vec<Metric> {
        let is_nonzero = |metric: &Metric| self.series(*metric).iter().any(|sample| sample.y != 0.0);
        self.metrics().into_iter().filter(is_nonzero).collect()
    }

    /// Returns the metrics that were measured at any point.
    pub fn metrics(&self) -> Vec<Metric> {
        let is_measured =
            |metric: &Metric| self.points.iter().any(|point| point.metrics.contains_key(metric));
        Metric::ALL.iter().copied().filter(is_measured).collect()
    }
}

/// Returns the folder itself if it holds results, otherwise its subfolders that do, sorted by name.
pub fn run_folders(folder: &Path) -> Result<Vec<PathBuf>> {
    if folder.join(RUN_FILE).exists() {
        return Ok(vec![folder.to_owned()]);
    }
    let entries = fs::read_dir(folder).map_err(|error| LaboratoryError::results(folder, error))?;
    let paths = entries.filter_map(|entry| Some(entry.ok()?.path()));
    let mut folders: Vec<PathBuf> = paths.filter(|path| path.join(RUN_FILE).exists()).collect();
    if folders.is_empty() {
        return Err(LaboratoryError::results(folder, format!("contains no {RUN_FILE}")));
    }
    folders.sort();
    Ok(folders)
}
