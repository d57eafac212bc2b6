//! Table that compares the operators' first measurement of the decision core, which the table calls the
//! probe, with the measurements of `core-servers`.

use super::cells::or_missing;
use super::run_set::{RunSet, RunSets};
use crate::metric::Metric;
use crate::report::format_number;
use std::fmt::Write;

/// Experiment that measures the same numbers of servers.
const EXPERIMENT: &str = "core-servers";

/// Results of the first measurement with one number of servers.
struct FirstMeasurement {
    /// Number of servers listed.
    servers: u64,
    /// Processor time of a request, in microseconds.
    request_us: f64,
    /// Processor time of a tick, in microseconds.
    tick_us: f64,
    /// Processor time of a change of the endpoint list, in microseconds.
    change_us: f64,
    /// Memory of the complete process with its tenants, in bytes.
    memory_bytes: f64,
}

/// Creates a measurement from its values in the order of the table's columns.
const fn measurement(
    servers: u64,
    request_us: f64,
    tick_us: f64,
    change_us: f64,
    memory_bytes: f64,
) -> FirstMeasurement {
    FirstMeasurement { servers, request_us, tick_us, change_us, memory_bytes }
}

/// First measurement at each number of servers.
const FIRST_MEASUREMENTS: &[FirstMeasurement] = &[
    measurement(61, 1.4, 6.0, 0.5, 0.5e6),
    measurement(610, 6.5, 43.0, 2.8, 1.1e6),
    measurement(6_100, 97.0, 2_100.0, 78.0, 11e6),
    measurement(61_000, 11_900.0, 8_500.0, 4_800.0, 18e6),
    measurement(190_000, 64_000.0, 48_000.0, 22_000.0, 55e6),
];

/// Returns the table as Markdown.
pub fn markdown(sets: &RunSets) -> String {
    let mut text = String::from(
        "| servers listed | request, us: probe, before, after | round, us | changed member, us \
         | memory of the list, MB |\n\
         |---:|---|---|---|---|\n",
    );
    for first in FIRST_MEASUREMENTS {
        let cell = |metric, first_value: f64, scale: f64| {
            let measured =
                |runs: &RunSet| value(runs, metric, first.servers).map(|value| format_number(value / scale));
            let before = or_missing(measured(&sets.before));
            let after = or_missing(sets.after.as_ref().and_then(measured));
            format!("{}, {before}, {after}", format_number(first_value / scale))
        };
        let cells = [
            first.servers.to_string(),
            cell(Metric::RequestCpu, first.request_us, 1.0),
            cell(Metric::TickCpu, first.tick_us, 1.0),
            cell(Metric::ChangeCpu, first.change_us, 1.0),
            cell(Metric::ListHeap, first.memory_bytes, 1e6),
        ];
        let _ = writeln!(text, "| {} |", cells.join(" | "));
    }
    text
}

/// Returns a metric's value at one size, or `None` if it was not measured.
fn value(runs: &RunSet, metric: Metric, size: u64) -> Option<f64> {
    let points = &runs.run(EXPERIMENT)?.points;
    points.iter().find(|point| point.size == Some(size))?.metrics.get(&metric).copied()
}
