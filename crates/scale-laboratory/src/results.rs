//! Results on disk: a folder with `run.json`, rewritten after each point, so that an interrupted run keeps what it has.

use crate::error::{LaboratoryError, Result};
use crate::experiment::Experiment;
use crate::fit::Sample;
use crate::metric::Metric;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

/// The results file of a folder.
pub const RUN_FILE: &str = "run.json";
/// The same while it is written.
const PARTIAL_RUN_FILE: &str = "run.json.partial";
/// The format of the file; one of another format is refused.
const FORMAT: u32 = 1;

/// How far a run has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunStatus {
    /// Points are still to come.
    Running,
    /// All points are there.
    Complete,
    /// The run failed or was interrupted; the points so far are there.
    Failed,
}

/// What a fault cost.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FaultCost {
    /// The fault.
    pub fault: String,
    /// When it began, seconds of measured time.
    pub at_seconds: f64,
    /// Requests without an answer, from its begin to the recovery.
    pub lost: u64,
    /// Requests refused or failed in that time.
    pub refused_or_failed: u64,
    /// Time until requests were served as before; absent where that was not seen.
    pub recovery_milliseconds: Option<f64>,
}

/// Measurements at one size.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// The swept quantity's value; absent where nothing is swept.
    pub size: Option<u64>,
    /// Measured values.
    pub metrics: BTreeMap<Metric, f64>,
    /// What each fault cost, in the order of their begins.
    pub faults: Vec<FaultCost>,
}

/// A run of an experiment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// The format of this file.
    pub format: u32,
    /// How far the run has come.
    pub status: RunStatus,
    /// The error that ended it, if one did.
    pub error: Option<String>,
    /// The experiment with its seed.
    pub experiment: Experiment,
    /// Points, in the order of the sizes.
    pub points: Vec<Point>,
}

impl Run {
    /// A run that begins.
    pub fn new(experiment: Experiment) -> Run {
        Run { format: FORMAT, status: RunStatus::Running, error: None, experiment, points: Vec::new() }
    }

    /// Writes the run into its folder, in one step.
    pub fn write(&self, folder: &Path) -> Result<()> {
        let failed = |error| LaboratoryError::io(format!("{} cannot be written", folder.display()), error);
        fs::create_dir_all(folder).map_err(failed)?;
        let text =
            serde_json::to_string_pretty(self).map_err(|error| LaboratoryError::results(folder, error))?;
        let partial = folder.join(PARTIAL_RUN_FILE);
        fs::write(&partial, text + "\n").map_err(failed)?;
        fs::rename(&partial, folder.join(RUN_FILE)).map_err(failed)
    }

    /// Reads a run, complete or not.
    pub fn read(folder: &Path) -> Result<Run> {
        let path = folder.join(RUN_FILE);
        let text = fs::read_to_string(&path).map_err(|error| LaboratoryError::results(&path, error))?;
        let run: Run = serde_json::from_str(&text).map_err(|error| LaboratoryError::results(&path, error))?;
        if run.format != FORMAT {
            return Err(LaboratoryError::results(&path, format!("has format {}, not {FORMAT}", run.format)));
        }
        Ok(run)
    }

    /// Reads a run, and refuses one that is not complete.
    pub fn read_complete(folder: &Path) -> Result<Run> {
        let run = Run::read(folder)?;
        if run.status == RunStatus::Complete {
            return Ok(run);
        }
        let done = run.points.len();
        let all = run.experiment.points().len();
        let cause = run.error.as_deref().unwrap_or("the run did not end");
        let reason = format!("is half written: {done} of {all} points ({cause})");
        Err(LaboratoryError::results(&folder.join(RUN_FILE), reason))
    }

    /// The points of a metric that have a size.
    pub fn series(&self, metric: Metric) -> Vec<Sample> {
        let sample = |point: &Point| Some(Sample { x: point.size? as f64, y: *point.metrics.get(&metric)? });
        self.points.iter().filter_map(sample).collect()
    }

    /// The metrics that are not zero at every size.
    pub fn varied_metrics(&self) -> Vec<Metric> {
        let varies = |metric: &Metric| self.series(*metric).iter().any(|sample| sample.y != 0.0);
        self.metrics().into_iter().filter(varies).collect()
    }

    /// The metrics that any point has.
    pub fn metrics(&self) -> Vec<Metric> {
        let is_measured =
            |metric: &Metric| self.points.iter().any(|point| point.metrics.contains_key(metric));
        Metric::ALL.iter().copied().filter(is_measured).collect()
    }
}

/// The folders with results in or directly under a folder, in the order of their names.
pub fn run_folders(folder: &Path) -> Result<Vec<PathBuf>> {
    if folder.join(RUN_FILE).exists() {
        return Ok(vec![folder.to_owned()]);
    }
    let entries = fs::read_dir(folder).map_err(|error| LaboratoryError::results(folder, error))?;
    let paths = entries.filter_map(|entry| Some(entry.ok()?.path()));
    let mut folders: Vec<PathBuf> = paths.filter(|path| path.join(RUN_FILE).exists()).collect();
    if folders.is_empty() {
        return Err(LaboratoryError::results(folder, format!("holds no {RUN_FILE}")));
    }
    folders.sort();
    Ok(folders)
}
