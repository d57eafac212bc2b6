//! Committed results of all scale runs, before and after a change of the decision core.

use crate::error::{LaboratoryError, Result};
use crate::fit::Line;
use crate::metric::Metric;
use crate::results::{run_folders, Run};
use std::collections::BTreeMap;
use std::path::Path;

/// Name of the folder of the runs before the change.
const BEFORE: &str = "before";
/// Name of the folder of the runs after the change.
const AFTER: &str = "after";

/// Growth of a metric over the quantity that an experiment sweeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Slope {
    /// Name of the experiment.
    pub experiment: &'static str,
    /// Metric that grows.
    pub metric: Metric,
}

impl Slope {
    /// Returns the slope's name in tables.
    pub fn name(self) -> String {
        format!("{}/{}", self.experiment, self.metric.name())
    }
}

/// Runs of one version of the decision core.
pub struct RunSet {
    /// Runs by the names of their experiments.
    runs: BTreeMap<String, Run>,
}

/// Runs before the change of the decision core and, if they exist, after it.
pub struct RunSets {
    /// Runs before the change.
    pub before: RunSet,
    /// Runs after the change; `None` if their folder does not exist.
    pub after: Option<RunSet>,
}

impl RunSets {
    /// Reads the runs from the subfolders of a folder.
    pub fn read(folder: &Path) -> Result<RunSets> {
        let after = folder.join(AFTER);
        Ok(RunSets {
            before: RunSet::read(&folder.join(BEFORE))?,
            after: after.exists().then(|| RunSet::read(&after)).transpose()?,
        })
    }

    /// Returns the runs of the latest version of the decision core.
    pub fn latest(&self) -> &RunSet {
        self.after.as_ref().unwrap_or(&self.before)
    }

    /// Returns an error if neither set contains enough points of a slope.
    pub fn require(&self, slope: Slope) -> Result<()> {
        let sets = [Some(&self.before), self.after.as_ref()];
        if sets.into_iter().flatten().any(|set| set.line(slope).is_some()) {
            return Ok(());
        }
        let reason =
            format!("no run has enough points to fit a line to {}; run the experiment", slope.name());
        Err(LaboratoryError::results(Path::new(BEFORE), reason))
    }
}

impl RunSet {
    /// Reads all complete runs of a folder; an incomplete one is an error.
    fn read(folder: &Path) -> Result<RunSet> {
        let folders = run_folders(folder)?;
        let runs = folders.iter().map(|folder| Run::read_complete(folder));
        let named = runs.map(|run| run.map(|run| (run.experiment.name.clone(), run)));
        Ok(RunSet { runs: named.collect::<Result<_>>()? })
    }

    /// Returns the run of an experiment, or `None` if the set has none.
    pub fn run(&self, experiment: &str) -> Option<&Run> {
        self.runs.get(experiment)
    }

    /// Returns the line fitted to a slope's points, or `None` if the run or enough points are missing.
    pub fn line(&self, slope: Slope) -> Option<Line> {
        Line::through(&self.run(slope.experiment)?.series(slope.metric))
    }

    /// Returns the largest size at which a slope was measured.
    pub fn largest_size(&self, slope: Slope) -> Option<f64> {
        let points = self.run(slope.experiment)?.series(slope.metric);
        points.iter().map(|point| point.x).reduce(f64::max)
    }
}
