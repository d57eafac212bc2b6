//! Tables of the requests that faults cost, and of the usage beyond quotas while gateways cannot reach the
//! shared counter.

use super::cells::{or_missing, MISSING};
use super::run_set::{RunSet, RunSets};
use super::target;
use crate::metric::Metric;
use crate::report::format_number;
use crate::results::{FaultCost, Run};
use std::fmt::Write;

/// Experiments whose fault costs are listed.
const FAULT_EXPERIMENTS: &[&str] = &["fault-domains", "fault-control", "real-faults"];

/// Experiment that measures hot tenants' usage beyond their quotas.
struct QuotaExperiment {
    /// Name of the experiment.
    name: &'static str,
    /// Description of the fault in the table.
    fault: &'static str,
}

/// Experiments whose usage beyond quotas is listed.
const QUOTA_EXPERIMENTS: &[QuotaExperiment] = &[
    QuotaExperiment { name: "fault-cut-none", fault: "nothing" },
    QuotaExperiment { name: "fault-cut", fault: "the two regions cannot reach each other" },
    QuotaExperiment { name: "fault-counter-quota", fault: "the counter answers nobody" },
];

/// Cost of one fault at all sizes of a run.
struct FaultCosts<'a> {
    /// Cost at each size.
    costs: Vec<&'a FaultCost>,
    /// Requests per second at all gateways together.
    requests_per_second: f64,
}

/// Returns the table of fault costs as Markdown.
pub fn markdown(sets: &RunSets) -> String {
    let mut text = String::from(
        "| experiment | fault | before: requests lost, ms of the fleet's traffic | refused or failed, ms \
         | recovery, s | after: lost, ms | refused or failed, ms | recovery, s \
         | lost at the target's traffic |\n\
         |---|---|---:|---:|---:|---:|---:|---:|---:|\n",
    );
    for experiment in FAULT_EXPERIMENTS {
        let Some(run) = sets.before.run(experiment) else { continue };
        let faults = run.points.first().map_or(&[][..], |point| &point.faults);
        for (index, fault) in faults.iter().enumerate() {
            let before = FaultCosts::of(&sets.before, experiment, index);
            let after = sets.after.as_ref().and_then(|after| FaultCosts::of(after, experiment, index));
            let latest = FaultCosts::of(sets.latest(), experiment, index);
            let lost_at_target = latest.map(|costs| costs.lost_seconds() * target::REQUESTS_PER_SECOND);
            let cells = [
                (*experiment).to_owned(),
                fault.fault.clone(),
                cells(before),
                cells(after),
                or_missing(lost_at_target.map(|lost| format_number(lost.round()))),
            ];
            let _ = writeln!(text, "| {} |", cells.join(" | "));
        }
    }
    text
}

impl FaultCosts<'_> {
    /// Returns the costs of the fault at an index of the results, or `None` if the experiment was not run.
    fn of<'a>(runs: &'a RunSet, experiment: &str, fault: usize) -> Option<FaultCosts<'a>> {
        let run = runs.run(experiment)?;
        let costs: Vec<&FaultCost> = run.points.iter().filter_map(|point| point.faults.get(fault)).collect();
        let requests_per_second = run.experiment.load.requests_per_second;
        (!costs.is_empty()).then_some(FaultCosts { costs, requests_per_second })
    }

    /// Returns the mean of a request count over the sizes, converted to seconds of the fleet's traffic.
    fn traffic_seconds(&self, count: impl Fn(&FaultCost) -> u64) -> f64 {
        let sum: u64 = self.costs.iter().map(|cost| count(cost)).sum();
        sum as f64 / self.costs.len() as f64 / self.requests_per_second
    }

    /// Returns the mean number of lost requests, converted to seconds of the fleet's traffic.
    fn lost_seconds(&self) -> f64 {
        self.traffic_seconds(|cost| cost.lost)
    }

    /// Returns the cell of the recovery times: the shortest and the longest in seconds, and the number of
    /// sizes at which no recovery was observed.
    fn recovery_range(&self) -> String {
        let recoveries = self.costs.iter().filter_map(|cost| cost.recovery_milliseconds);
        let seconds: Vec<f64> = recoveries.map(|milliseconds| milliseconds / 1e3).collect();
        let shortest = seconds.iter().copied().reduce(f64::min);
        let longest = seconds.iter().copied().reduce(f64::max);
        let range = match (shortest, longest) {
            (Some(shortest), Some(longest)) if shortest < longest => {
                format!("{shortest:.1} to {longest:.1}")
            }
            (Some(shortest), _) => format!("{shortest:.1}"),
            _ => return "not seen".to_owned(),
        };
        match self.costs.len() - seconds.len() {
            0 => range,
            not_seen => format!("{range}, not seen at {not_seen} sizes"),
        }
    }
}

/// Returns three cells: requests lost, requests rejected or failed, and recovery times.
fn cells(costs: Option<FaultCosts>) -> String {
    let Some(costs) = costs else { return [MISSING; 3].join(" | ") };
    let milliseconds = |seconds: f64| format!("{:.1}", seconds * 1e3);
    let lost = milliseconds(costs.lost_seconds());
    let rejected_or_failed = milliseconds(costs.traffic_seconds(|cost| cost.rejected_or_failed));
    [lost, rejected_or_failed, costs.recovery_range()].join(" | ")
}

/// Returns the table of usage beyond quotas as Markdown.
pub fn quota_markdown(sets: &RunSets) -> String {
    let mut text = String::from(
        "| experiment | amiss | gateways | before: use beyond the quota | after |\n|---|---|---|---|---|\n",
    );
    for QuotaExperiment { name, fault } in QUOTA_EXPERIMENTS {
        let Some(before) = sets.before.run(name) else { continue };
        let sizes = before.points.iter().filter_map(|point| point.size);
        let sizes: Vec<String> = sizes.map(|size| size.to_string()).collect();
        let after = sets.after.as_ref().and_then(|after| after.run(name));
        let cells = [
            (*name).to_owned(),
            (*fault).to_owned(),
            sizes.join(", "),
            over_quota(before),
            or_missing(after.map(over_quota)),
        ];
        let _ = writeln!(text, "| {} |", cells.join(" | "));
    }
    text
}

/// Returns the cell of the usage beyond quotas at each size.
fn over_quota(run: &Run) -> String {
    let shares = run.series(Metric::OverQuota);
    shares.iter().map(|point| format!("{:.0}%", point.y * 100.0)).collect::<Vec<_>>().join(", ")
}
