//! Tables of the capacity page, computed from committed results: the resource needs of each role at the
//! target size beside their budgets, the measured slopes that they are extrapolated from, and the requests
//! that faults cost.

mod cells;
mod fault_table;
mod need;
mod need_table;
mod needs;
mod page;
mod probe_table;
mod run_set;
mod slope_table;
mod target;

use crate::error::Result;
use run_set::RunSets;
use std::path::Path;

/// Returns all tables as Markdown, computed from the results in a folder.
pub fn tables(folder: &Path) -> Result<String> {
    let sets = RunSets::read(folder)?;
    let parts = [
        need_table::markdown(&sets)?,
        probe_table::markdown(&sets),
        fault_table::markdown(&sets),
        fault_table::quota_markdown(&sets),
        slope_table::markdown(&sets),
    ];
    Ok(parts.join("\n"))
}

/// Replaces the tables of a page with those computed from the results in a folder.
pub fn update_page(folder: &Path, page: &Path) -> Result<()> {
    page::replace_tables(page, &tables(folder)?)
}
