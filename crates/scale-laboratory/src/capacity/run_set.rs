//! The committed results of all scale runs, before and after a change of the core.

use crate::error::{LaboratoryError, Result};
use crate::fit::Line;
use crate::metric::Metric;
use crate::results::{run_folders, Run};
use std::collections::BTreeMap;
use std::path::Path;

/// The folder of the runs before the change.
const BEFORE: &str = "before";
/// The folder of those after it.
const AFTER: &str = "after";

/// A slope that a figure rests on: a metric of an experiment over the quantity swept there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Slope {
    /// The experiment.
    pub experiment: &'static str,
    /// The metric.
    pub metric: Metric,
}

impl Slope {
    /// Its name in tables.
    pub fn name(self) -> String {
        format!("{}/{}", self.experiment, self.metric.name())
    }
}

/// The runs of one version of the core.
pub struct RunSet {
    /// The runs by their experiments.
    runs: BTreeMap<String, Run>,
}

/// The runs before the change of the core and, if they were made, after it.
pub struct RunSets {
    /// Before.
    pub before: RunSet,
    /// After.
    pub after: Option<RunSet>,
}

impl RunSets {
    /// Reads all runs of a folder.
    pub fn read(folder: &Path) -> Result<RunSets> {
        let after = folder.join(AFTER);
        Ok(RunSets {
            before: RunSet::read(&folder.join(BEFORE))?,
            after: after.exists().then(|| RunSet::read(&after)).transpose()?,
        })
    }

    /// The runs of the newest version of the core.
    pub fn latest(&self) -> &RunSet {
        self.after.as_ref().unwrap_or(&self.before)
    }

    /// Fails if neither set has a slope that the tables need.
    pub fn require(&self, slope: Slope) -> Result<()> {
        let sets = [Some(&self.before), self.after.as_ref()];
        if sets.into_iter().flatten().any(|set| set.line(slope).is_some()) {
            return Ok(());
        }
        let reason = format!("no run gives the line of {}; run its experiment", slope.name());
        Err(LaboratoryError::results(Path::new(BEFORE), reason))
    }
}

impl RunSet {
    /// Reads all runs of a folder.
    fn read(folder: &Path) -> Result<RunSet> {
        let folders = run_folders(folder)?;
        let runs = folders.iter().map(|folder| Run::read_complete(folder));
        let named = runs.map(|run| run.map(|run| (run.experiment.name.clone(), run)));
        Ok(RunSet { runs: named.collect::<Result<_>>()? })
    }

    /// The run of an experiment.
    pub fn run(&self, experiment: &str) -> Option<&Run> {
        self.runs.get(experiment)
    }

    /// The line through a slope's points; `None` if the run or the metric is missing.
    pub fn line(&self, slope: Slope) -> Option<Line> {
        Line::through(&self.run(slope.experiment)?.series(slope.metric))
    }

    /// The largest size that a slope was measured at.
    pub fn largest_size(&self, slope: Slope) -> Option<f64> {
        let points = self.run(slope.experiment)?.series(slope.metric);
        points.iter().map(|point| point.x).reduce(f64::max)
    }
}
