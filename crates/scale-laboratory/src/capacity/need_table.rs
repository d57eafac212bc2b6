//! Table of resource needs beside their budgets.

use super::cells::{or_missing, MISSING};
use super::need::Need;
use super::needs::NEEDS;
use super::run_set::{RunSet, RunSets};
use crate::error::Result;
use crate::report::format_number;
use std::fmt::Write;

/// Returns the table as Markdown, or an error if a slope was not measured.
pub fn markdown(sets: &RunSets) -> Result<String> {
    let mut text = String::from(
        "| role | quantity | unit | budget | before | ratio | after | ratio | beyond the largest measured \
         | slopes |\n\
         |---|---|---|---:|---:|---:|---:|---:|---:|---|\n",
    );
    for need in NEEDS {
        for contribution in need.contributions {
            sets.require(contribution.slope)?;
        }
        let _ = writeln!(text, "{}", row(need, sets));
    }
    Ok(text)
}

fn row(need: &Need, sets: &RunSets) -> String {
    let extrapolation = need.extrapolation(sets.latest()).or_else(|| need.extrapolation(&sets.before));
    let slopes: Vec<String> =
        need.contributions.iter().map(|contribution| contribution.slope.name()).collect();
    let cells = [
        need.role.name().to_owned(),
        need.quantity.to_owned(),
        need.unit.to_owned(),
        or_missing(need.budget.map(format_number)),
        value_and_ratio(need, Some(&sets.before)),
        value_and_ratio(need, sets.after.as_ref()),
        or_missing(extrapolation.map(extrapolation_text)),
        slopes.join(", "),
    ];
    format!("| {} |", cells.join(" | "))
}

/// Returns two cells: the amount needed, and its ratio to the budget.
fn value_and_ratio(need: &Need, runs: Option<&RunSet>) -> String {
    let Some(value) = runs.and_then(|runs| need.value(runs)) else { return format!("{MISSING} | {MISSING}") };
    let ratio = need.budget.map(|budget| format!("**{}**", format_number(value / budget)));
    format!("{} | {}", format_number(value), or_missing(ratio))
}

/// Returns the cell of an extrapolation, the ratio of a size to the largest measured size.
fn extrapolation_text(extrapolation: f64) -> String {
    if extrapolation <= 1.0 {
        "within".to_owned()
    } else {
        format!("{extrapolation:.1} times")
    }
}
