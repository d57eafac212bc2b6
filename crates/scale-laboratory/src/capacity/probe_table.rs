//! The operators' first measurement of the decision core beside those of `core-servers`.

use super::cells::or_missing;
use super::run_set::{RunSet, RunSets};
use crate::metric::Metric;
use crate::report::number;
use std::fmt::Write;

/// The experiment with the same sizes.
const EXPERIMENT: &str = "core-servers";

/// What the first measurement found at one size.
struct FirstMeasurement {
    /// The size.
    servers: u64,
    /// Processor time of a request, microseconds.
    request_us: f64,
    /// Processor time of the periodic timer, microseconds.
    timer_us: f64,
    /// Processor time of a change of the endpoint list, microseconds.
    change_us: f64,
    /// Memory of the complete process with its tenants, bytes.
    memory_bytes: f64,
}

/// One size, in the order of the table's columns.
const fn first(
    servers: u64,
    request_us: f64,
    timer_us: f64,
    change_us: f64,
    memory_bytes: f64,
) -> FirstMeasurement {
    FirstMeasurement { servers, request_us, timer_us, change_us, memory_bytes }
}

/// The first measurement.
const FIRST_MEASUREMENTS: &[FirstMeasurement] = &[
    first(61, 1.4, 6.0, 0.5, 0.5e6),
    first(610, 6.5, 43.0, 2.8, 1.1e6),
    first(6_100, 97.0, 2_100.0, 78.0, 11e6),
    first(61_000, 11_900.0, 8_500.0, 4_800.0, 18e6),
    first(190_000, 64_000.0, 48_000.0, 22_000.0, 55e6),
];

/// The table as Markdown.
pub fn markdown(sets: &RunSets) -> String {
    let mut text = String::from(
        "| servers listed | request, us: probe, before, after | round, us | changed member, us | memory of the list, MB |\n\
         |---:|---|---|---|---|\n",
    );
    for first in FIRST_MEASUREMENTS {
        let cell = |metric, first_value: f64, scale: f64| {
            let measured =
                |runs: &RunSet| value(runs, metric, first.servers).map(|value| number(value / scale));
            let before = or_missing(measured(&sets.before));
            let after = or_missing(sets.after.as_ref().and_then(measured));
            format!("{}, {before}, {after}", number(first_value / scale))
        };
        let cells = [
            first.servers.to_string(),
            cell(Metric::RequestCpu, first.request_us, 1.0),
            cell(Metric::RoundCpu, first.timer_us, 1.0),
            cell(Metric::ChangeCpu, first.change_us, 1.0),
            cell(Metric::ListHeap, first.memory_bytes, 1e6),
        ];
        let _ = writeln!(text, "| {} |", cells.join(" | "));
    }
    text
}

/// A metric at one size.
fn value(runs: &RunSet, metric: Metric, size: u64) -> Option<f64> {
    let points = &runs.run(EXPERIMENT)?.points;
    points.iter().find(|point| point.size == Some(size))?.metrics.get(&metric).copied()
}
