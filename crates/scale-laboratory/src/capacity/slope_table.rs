//! Table of the measured slopes.

use super::cells::or_missing;
use super::run_set::{RunSets, Slope};
use crate::fit::Line;
use crate::metric::Metric;
use crate::report::format_number;
use std::fmt::Write;

/// Creates a slope.
const fn slope(experiment: &'static str, metric: Metric) -> Slope {
    Slope { experiment, metric }
}

/// Slopes in the order of the table.
const SLOPES: &[Slope] = &[
    slope("core-servers", Metric::RequestCpu),
    slope("core-servers", Metric::RequestEntries),
    slope("core-servers", Metric::TickCpu),
    slope("core-servers", Metric::TickEntries),
    slope("core-servers", Metric::ChangeCpu),
    slope("core-servers", Metric::ListCpu),
    slope("core-servers", Metric::ListHeap),
    slope("core-services", Metric::RequestCpu),
    slope("core-services", Metric::TickCpu),
    slope("core-tenants", Metric::RequestCpu),
    slope("core-tenants", Metric::TickCpu),
    slope("core-tenants", Metric::TenantHeap),
    slope("core-gateways", Metric::RequestCpu),
    slope("core-gateways", Metric::TickCpu),
    slope("core-gateways", Metric::BaseHeap),
    slope("hollow-requests", Metric::CounterCalls),
    slope("hollow-requests", Metric::CounterBytes),
    slope("hollow-crowded-counter", Metric::CounterCalls),
    slope("hollow-crowded-counter", Metric::CounterBytes),
    slope("hollow-requests", Metric::FirstAttemptDelayP99),
    slope("hollow-crowded-counter", Metric::FirstAttemptDelayP99),
    slope("hollow-tenants", Metric::CounterCalls),
    slope("hollow-idle", Metric::DiscoveryCalls),
    slope("hollow-idle", Metric::DiscoveryBytes),
    slope("hollow-changes", Metric::DiscoveryCalls),
    slope("hollow-changes", Metric::RelayBytes),
    slope("hollow-configurations", Metric::RelayBytes),
    slope("hollow-restarts", Metric::RelayBytes),
    slope("hollow-list", Metric::RelayBytes),
    slope("hollow-in-force", Metric::EndpointPropagation),
    slope("hollow-in-force", Metric::ConfigurationPropagation),
    slope("hollow-server-gateways", Metric::GatewaysPerServer),
    slope("real-requests", Metric::GatewayCpu),
    slope("real-requests", Metric::AddedP99),
    slope("real-requests", Metric::CounterBytes),
    slope("real-servers", Metric::ProcessCpu),
    slope("real-servers", Metric::AddedP99),
    slope("real-servers", Metric::ResidentMemory),
    slope("real-listed", Metric::ResidentMemory),
    slope("real-tenants", Metric::ProcessCpu),
    slope("real-tenants", Metric::ResidentMemory),
    slope("real-connections", Metric::ResidentMemory),
    slope("real-gateways", Metric::DiscoveryBytes),
    slope("real-gateways", Metric::AddedP99),
];

/// Returns the table as Markdown, without the slopes that neither set contains.
pub fn markdown(sets: &RunSets) -> String {
    let mut text = String::from(
        "| slope | over | sizes | before: growth, at zero, residual, R² \
         | after: growth, at zero, residual, R² |\n\
         |---|---|---|---|---|\n",
    );
    for slope in SLOPES {
        if let Some(row) = row(sets, *slope) {
            let _ = writeln!(text, "{row}");
        }
    }
    text
}

/// Returns the row of a slope, or `None` if neither set contains it.
fn row(sets: &RunSets, slope: Slope) -> Option<String> {
    let before = sets.before.line(slope);
    let after = sets.after.as_ref().and_then(|runs| runs.line(slope));
    let measured = if before.is_some() { &sets.before } else { sets.latest() };
    let sweep = measured.run(slope.experiment)?.experiment.sweep.as_ref()?;
    before.or(after)?;
    let cells = [
        format!("{} ({})", slope.name(), slope.metric.unit()),
        sweep.parameter.to_string(),
        format!("{} from {} to {}", sweep.values.len(), sweep.values.first()?, sweep.values.last()?),
        or_missing(before.map(cell)),
        or_missing(after.map(cell)),
    ];
    Some(format!("| {} |", cells.join(" | ")))
}

/// Returns the cell of a fitted line.
fn cell(line: Line) -> String {
    let figures = [line.slope, line.intercept, line.residual].map(format_number);
    format!("{}, {:.3}", figures.join(", "), line.r_squared)
}
